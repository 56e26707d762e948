#include "mangodeck/connection/curltargetclient.h"

#include "targetexchange.h"

#include <cassert>

namespace mangodeck {

class CurlTargetClient::Impl {
public:
  explicit Impl(TargetClientOptions Options) : m_State(Options) {}

  void dispatch(TargetRequest Request, std::shared_ptr<TargetAnswer> Answer) {
    m_Loop.post([this, Request = std::move(Request),
                 Answer = std::move(Answer)]() mutable {
      startExchange(std::move(Request), std::move(Answer));
    });
  }

  void cancel(const RequestId &Id) {
    m_Loop.post([this, Id] {
      const auto It = m_Exchanges.find(Id);
      if (It == m_Exchanges.end())
        return;
      const auto Exchange = It->second;
      Exchange->cancel();
    });
  }

  TargetClientCounters counters() const {
    TargetClientCounters Result;
    Result.Dispatched = m_State.Dispatched;
    Result.Resumed = m_State.Resumed;
    Result.NotDelivered = m_State.NotDelivered;
    Result.Broken = m_State.Broken;
    Result.WrongAnswers = m_State.WrongAnswers;
    return Result;
  }

private:
  void startExchange(TargetRequest Request,
                     std::shared_ptr<TargetAnswer> Answer) {
    const auto Id = Request.Id;
    auto Exchange = std::make_shared<TargetExchange>(
        m_Loop, m_State, std::move(Request), std::move(Answer),
        [this, Id] { m_Exchanges.erase(Id); });
    const bool IsNew = m_Exchanges.emplace(Id, Exchange).second;
    assert(IsNew && "a request is dispatched once");
    static_cast<void>(IsNew);
    Exchange->dispatch();
  }

  TargetClientState m_State;
  std::unordered_map<RequestId, std::shared_ptr<TargetExchange>> m_Exchanges;
  // Last, so that its thread ends before what it uses.
  CurlLoop m_Loop;
};

CurlTargetClient::CurlTargetClient(TargetClientOptions Options)
    : m_Impl(std::make_unique<Impl>(Options)) {}

CurlTargetClient::~CurlTargetClient() = default;

void CurlTargetClient::dispatch(TargetRequest Request,
                                std::shared_ptr<TargetAnswer> Answer) {
  m_Impl->dispatch(std::move(Request), std::move(Answer));
}

void CurlTargetClient::cancel(const RequestId &Id) { m_Impl->cancel(Id); }

TargetClientCounters CurlTargetClient::counters() const {
  return m_Impl->counters();
}

} // namespace mangodeck
