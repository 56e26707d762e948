#include "mangodeck/process/answerrelay.h"

namespace mangodeck {

void AnswerRelay::open(const RequestId &Request) { m_Answers[Request]; }

void AnswerRelay::begin(const RequestId &Request, int Status,
                        std::string ContentType, PeerActions &Out) {
  const auto It = m_Answers.find(Request);
  if (It == m_Answers.end())
    return;
  auto &Found = It->second;
  Found.Status = Status;
  Found.ContentType = std::move(ContentType);
  for (const auto &Receiver : Found.Followers) {
    AnswerPart Part;
    Part.Request = Receiver.Request;
    Part.Status = Status;
    Part.ContentType = Found.ContentType;
    Out.push_back({Receiver.Vm, std::move(Part)});
  }
}

void AnswerRelay::append(const RequestId &Request, std::string_view Bytes,
                         PeerActions &Out) {
  const auto It = m_Answers.find(Request);
  if (It == m_Answers.end())
    return;
  auto &Found = It->second;
  for (const auto &Receiver : Found.Followers) {
    AnswerPart Part;
    Part.Request = Receiver.Request;
    Part.Offset = Found.TotalBytes;
    Part.Bytes = std::string(Bytes);
    Out.push_back({Receiver.Vm, std::move(Part)});
  }
  Found.TotalBytes += Bytes.size();
  if (Found.TotalBytes <= m_MaxBufferedBytes)
    Found.Buffered.append(Bytes);
  else
    Found.Buffered.clear();
}

void AnswerRelay::end(const RequestId &Request, Run RunState,
                      PeerActions &Out) {
  const auto It = m_Answers.find(Request);
  if (It == m_Answers.end())
    return;
  for (const auto &Receiver : It->second.Followers) {
    AnswerPart Part;
    Part.Request = Receiver.Request;
    Part.Offset = It->second.TotalBytes;
    Part.Status = It->second.Status;
    Part.Last = true;
    Part.RunState = RunState;
    Out.push_back({Receiver.Vm, std::move(Part)});
  }
  m_Answers.erase(It);
}

void AnswerRelay::follow(const VmName &From, const FollowAnswer &Message,
                         PeerActions &Out) {
  AnswerPart Part;
  Part.Request = Message.Request;
  const auto It = m_Answers.find(Message.HeldRequest);
  if (It == m_Answers.end() ||
      It->second.TotalBytes != It->second.Buffered.size()) {
    Part.Last = true;
    Part.RunState = Run::Unknown;
    Out.push_back({From, std::move(Part)});
    return;
  }
  auto &Found = It->second;
  Found.Followers.push_back({From, Message.Request});
  if (Found.Status == 0)
    return;
  Part.Status = Found.Status;
  Part.ContentType = Found.ContentType;
  Part.Bytes = Found.Buffered;
  Out.push_back({From, std::move(Part)});
}

void AnswerRelay::removeFollowersOn(const VmName &Vm) {
  for (auto &[Request, Found] : m_Answers)
    std::erase_if(Found.Followers,
                  [&](const Follower &Receiver) { return Receiver.Vm == Vm; });
}

} // namespace mangodeck
