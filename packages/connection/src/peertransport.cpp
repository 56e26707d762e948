#include "mangodeck/connection/peertransport.h"

#include "peertable.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <future>
#include <thread>

namespace mangodeck {

namespace {

constexpr Duration FlushPollInterval = 2ms;

} // namespace

/// Owns the thread; PeerTable does the work on it.
class PeerTransport::Impl {
public:
  Impl(PeerTransportOptions Options, const Clock &Source, HybridClock &Stamps,
       RandomSource &Jitter)
      : m_Clock(Source),
        m_Table(m_Context, std::move(Options), Source, Stamps, Jitter) {}

  std::error_code start(PeerHandler &Handler) {
    if (const auto Error = m_Table.listen(Handler))
      return Error;
    m_Thread = std::thread([this] { m_Context.run(); });
    return {};
  }

  void stop() {
    if (!m_Thread.joinable())
      return;
    asio::post(m_Context, [this] { m_Table.close(); });
    m_Thread.join();
  }

  bool flush(Duration Limit) {
    const auto End = m_Clock.now() + Limit;
    while (m_Thread.joinable()) {
      std::promise<bool> Answer;
      asio::post(m_Context, [&] { Answer.set_value(m_Table.isFlushed()); });
      if (Answer.get_future().get())
        return true;
      if (m_Clock.now() >= End)
        return false;
      std::this_thread::sleep_for(FlushPollInterval);
    }
    return true;
  }

  PeerTable &table() { return m_Table; }

private:
  asio::io_context m_Context{1};
  const Clock &m_Clock;
  PeerTable m_Table;
  std::thread m_Thread;
};

PeerTransport::PeerTransport(PeerTransportOptions Options, const Clock &Source,
                             HybridClock &Stamps, RandomSource &Jitter)
    : m_Impl(
          std::make_unique<Impl>(std::move(Options), Source, Stamps, Jitter)) {}

PeerTransport::~PeerTransport() { m_Impl->stop(); }

std::error_code PeerTransport::start(PeerHandler &Handler) {
  return m_Impl->start(Handler);
}

void PeerTransport::stop() { m_Impl->stop(); }

bool PeerTransport::flush(Duration Limit) { return m_Impl->flush(Limit); }

void PeerTransport::setPeers(std::span<const PeerAddress> Peers) {
  m_Impl->table().setPeers(Peers);
}

bool PeerTransport::send(const VmName &Peer, PeerMessage Message) {
  return m_Impl->table().send(Peer, Message);
}

std::uint16_t PeerTransport::port() const { return m_Impl->table().port(); }

std::vector<PeerStatistics> PeerTransport::statistics() const {
  return m_Impl->table().statistics();
}

PeerStatistics PeerTransport::totals() const {
  return m_Impl->table().totals();
}

} // namespace mangodeck
