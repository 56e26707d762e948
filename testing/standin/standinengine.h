#ifndef MANGODECK_STANDIN_STANDINENGINE_H
#define MANGODECK_STANDIN_STANDINENGINE_H

#include "standinfaults.h"

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/request/callerexchange.h"

#include <asio.hpp>

#include <cstdio>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck::testing {

/// How a stand-in target behaves while no fault is switched on.
struct EngineOptions {
  std::string Name = "standin";
  bool Plain = false;
  Incarnation Started = 0;
  Duration TokenDelay = 2ms;
  Duration PrefillDelay = 5ms;
  Duration PrefillPerToken{0}; ///< For tokens that are not cached.
  Duration ReportPeriod = 200ms;
  Duration ReportLag{0};
  std::size_t CacheBlocks = 1024;
  bool ChecksFencing = true;
  std::string JournalPath; ///< One JSON line for each dispatch and payment.
};

/// A stand-in for a model engine or a plain service, with switchable faults.
/// Everything runs on one thread, which calls run().
class StandInEngine {
public:
  explicit StandInEngine(EngineOptions Options);
  ~StandInEngine();

  /// Serves until the process ends.
  void run();

  /// Takes a request of any kind; may be called on any thread.
  void accept(std::shared_ptr<CallerExchange> Exchange);

  /// Faults in force from the start; error text as of Faults::replace().
  std::string setFaults(const std::string &Json) {
    return m_Faults.replace(Json);
  }

private:
  struct Stream;
  using ExchangePtr = std::shared_ptr<CallerExchange>;
  using StreamPtr = std::shared_ptr<Stream>;

  void route(const ExchangePtr &Exchange);
  void routeControl(const ExchangePtr &Exchange, std::string_view Path);

  void dispatch(const ExchangePtr &Exchange);
  void startModelAnswer(const ExchangePtr &Exchange, const StreamPtr &Entry);
  void startPlainAnswer(const ExchangePtr &Exchange, const StreamPtr &Entry);
  void produce(const StreamPtr &Entry);
  void attach(const StreamPtr &Entry, const ExchangePtr &Exchange,
              std::size_t From, const AnswerFault &Fault, bool Resumed);
  void deliver(const StreamPtr &Entry);
  bool applyFault(const StreamPtr &Entry, std::size_t Frame);
  void resume(const ExchangePtr &Exchange, const std::string &Id);
  void cancel(const ExchangePtr &Exchange, const std::string &Id);
  void order(const ExchangePtr &Exchange);

  void subscribe(const ExchangePtr &Exchange);
  void publishLoad();
  void publishState();
  void publish(std::string Event, std::string Data);
  TokenCount cachePrompt(const CallerRequest &Request);

  std::string describeDispatches() const;
  std::string describePayments() const;
  void writeJournal(const std::string &Line);
  void respondJson(CallerExchange &Exchange, int Status,
                   const std::string &Body) const;
  std::vector<Header> makeHeaders(const std::string &Id,
                                  const std::string &ContentType) const;
  void callAfter(Duration Delay, std::function<void()> Task);

  const EngineOptions m_Options;
  Faults m_Faults;
  asio::io_context m_Loop;
  std::FILE *m_Journal = nullptr;

  std::unordered_map<std::string, StreamPtr> m_Streams;
  std::size_t m_Running = 0; ///< Answers in production.
  std::map<std::string, unsigned> m_Dispatches;
  std::uint64_t m_DispatchesWhileLeaving = 0;
  std::set<std::string> m_RefusedIds; ///< Never run, and never will be.
  std::vector<std::string> m_Payments;
  std::uint64_t m_HighestFence = 0;
  std::vector<std::string> m_Orders;

  std::list<std::uint64_t> m_CacheOrder; ///< Least recently used first.
  std::set<std::uint64_t> m_Cached;
  std::uint64_t m_CacheSequence = 0;
  std::vector<ExchangePtr> m_Subscribers;
};

} // namespace mangodeck::testing

#endif
