#include "mangodeck/process/answerrelay.h"

namespace mangodeck {

void AnswerRelay::open(const RequestId &Held) { m_Answers[Held]; }

void AnswerRelay::begin(const RequestId &Held, int Status,
                        std::string ContentType, PeerActions &Out) {
  const auto It = m_Answers.find(Held);
  if (It == m_Answers.end())
    return;
  auto &Found = It->second;
  Found.Status = Status;
  Found.ContentType = std::move(ContentType);
  for (const auto &Each : Found.Followers) {
    AnswerPart Part;
    Part.Request = Each.Request;
    Part.Status = Status;
    Part.ContentType = Found.ContentType;
    Out.push_back({Each.Vm, std::move(Part)});
  }
}

void AnswerRelay::append(const RequestId &Held, std::string_view Bytes,
                         PeerActions &Out) {
  const auto It = m_Answers.find(Held);
  if (It == m_Answers.end())
    return;
  auto &Found = It->second;
  for (const auto &Each : Found.Followers) {
    AnswerPart Part;
    Part.Request = Each.Request;
    Part.Offset = Found.Length;
    Part.Bytes = std::string(Bytes);
    Out.push_back({Each.Vm, std::move(Part)});
  }
  Found.Length += Bytes.size();
  if (Found.Length <= m_MaxBytes)
    Found.Bytes.append(Bytes);
  else
    Found.Bytes.clear();
}

void AnswerRelay::end(const RequestId &Held, Run RunState, PeerActions &Out) {
  const auto It = m_Answers.find(Held);
  if (It == m_Answers.end())
    return;
  for (const auto &Each : It->second.Followers) {
    AnswerPart Part;
    Part.Request = Each.Request;
    Part.Offset = It->second.Length;
    Part.Status = It->second.Status;
    Part.Last = true;
    Part.RunState = RunState;
    Out.push_back({Each.Vm, std::move(Part)});
  }
  m_Answers.erase(It);
}

void AnswerRelay::follow(const VmName &From, const FollowAnswer &Message,
                         PeerActions &Out) {
  AnswerPart Part;
  Part.Request = Message.Request;
  const auto It = m_Answers.find(Message.HeldRequest);
  if (It == m_Answers.end() || It->second.Length != It->second.Bytes.size()) {
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
  Part.Bytes = Found.Bytes;
  Out.push_back({From, std::move(Part)});
}

void AnswerRelay::removeFollowersOn(const VmName &Vm) {
  for (auto &[Held, Found] : m_Answers)
    std::erase_if(Found.Followers,
                  [&](const Follower &Each) { return Each.Vm == Vm; });
}

} // namespace mangodeck
