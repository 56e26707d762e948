#include "mangodeck/connection/etcdstore.h"

#include "etcdclient.h"
#include "etcdmessages.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

constexpr std::array<std::string_view, StoreCallKinds> KindNames = {
    "range",           "write",        "remove", "lease_grant",
    "lease_keepalive", "lease_revoke", "watch"};
constexpr std::size_t MaxWatchLineBytes = std::size_t{16} << 20;

using Entries = std::vector<StoreEntry>;

/// Passes the body of an answer through \p Parse.
template <typename T, typename Function>
EtcdClient::Answer parseWith(Function Parse, Store::Callback<T> Done) {
  return [Parse, Done = std::move(Done)](Expected<std::string> Body) {
    if (Body)
      Done(Parse(*Body));
    else
      Done(unexpected(Body.error()));
  };
}

/// Turns "no such lease" into a lost lease.
template <typename T> Store::Callback<T> orLeaseLost(Store::Callback<T> Done) {
  return [Done = std::move(Done)](Expected<T> Result) {
    if (!Result && Result.error() == Errc::NotFound)
      Done(unexpected(Errc::LeaseLost));
    else
      Done(std::move(Result));
  };
}

/// One watch: a stream of lines, opened anew after a delay when it breaks.
/// Lives on the loop's thread; stop() may be called there only.
class WatchStream : public HttpCallHandler,
                    public std::enable_shared_from_this<WatchStream> {
public:
  using Handler = std::function<void(Expected<Entries>)>;

  WatchStream(CurlLoop &Loop, EtcdClient &Client, std::string Prefix,
              Handler Changed)
      : m_Loop(Loop), m_Client(Client), m_Prefix(std::move(Prefix)),
        m_Changed(std::move(Changed)) {}

  void open() {
    if (m_IsStopped)
      return;
    m_Line.clear();
    m_Call =
        m_Client.openStream(StoreCallKind::Watch, "/v3/watch",
                            etcd::encodeWatch(m_Prefix), shared_from_this());
  }

  void stop() {
    m_IsStopped = true;
    m_Loop.stop(m_Call);
  }

  void onHead(int Status, std::vector<Header>) override { m_Status = Status; }

  void onBytes(std::string_view Bytes) override {
    m_Client.noteReceived(Bytes.size());
    m_Line += Bytes;
    for (auto End = m_Line.find('\n'); End != m_Line.npos;
         End = m_Line.find('\n')) {
      const auto Line = m_Line.substr(0, End);
      m_Line.erase(0, End + 1);
      onLine(Line);
      if (m_IsStopped)
        return;
    }
    if (m_Line.size() > MaxWatchLineBytes)
      reopenAfterError(Errc::WrongAnswer);
  }

  void onDone(const HttpCallEnd &End) override {
    if (!m_IsStopped)
      scheduleOpen(End.Code == CURLE_OK ? Errc::Closed : Errc::Unavailable);
  }

private:
  void onLine(std::string_view Line) {
    if (m_Status != 200 || Line.empty())
      return;
    auto Message = etcd::parseWatch(Line);
    if (!Message || Message->Cancelled) {
      reopenAfterError(Message ? Errc::Cancelled : Errc::WrongAnswer);
      return;
    }
    m_Client.noteAnswered();
    m_Failures = 0;
    if (!Message->Changed.empty())
      m_Changed(std::move(Message->Changed));
  }

  void reopenAfterError(Errc Error) {
    m_Loop.stop(m_Call);
    m_Line.clear();
    scheduleOpen(Error);
  }

  void scheduleOpen(Errc Error) {
    m_Client.noteFailedKind(StoreCallKind::Watch);
    m_Loop.callAfter(m_Client.jitteredDelay(m_Failures++),
                     [Self = shared_from_this()] { Self->open(); });
    m_Changed(unexpected(Error));
  }

  CurlLoop &m_Loop;
  EtcdClient &m_Client;
  std::string m_Prefix;
  Handler m_Changed;
  std::string m_Line;
  CurlLoop::CallId m_Call = 0;
  int m_Status = 0;
  std::uint32_t m_Failures = 0;
  bool m_IsStopped = false;
};

/// Ends the watch on the loop's thread.
class WatchHandle : public StoreWatch {
public:
  explicit WatchHandle(std::function<void()> Stop) : m_Stop(std::move(Stop)) {}
  ~WatchHandle() override { m_Stop(); }

private:
  std::function<void()> m_Stop;
};

} // namespace

/// The client first and the loop last, so that the loop's thread has ended
/// before anything it uses goes.
class EtcdStore::Impl {
public:
  Impl(EtcdStoreOptions Options, RandomSource &Random)
      : Client(Loop, std::move(Options), Random) {}

  void call(StoreCallKind Kind, std::string Path, std::string Body,
            EtcdClient::Answer Done) {
    Loop.post(
        [this, Kind, Path = std::move(Path), Body = std::move(Body),
         Done = std::move(Done)] { Client.call(Kind, Path, Body, Done); });
  }

  void readRange(const etcd::RangeRequest &Request, Callback<Entries> Done) {
    call(StoreCallKind::Range, "/v3/kv/range", etcd::encodeRange(Request),
         parseWith<Entries>(&etcd::parseRange, std::move(Done)));
  }

  EtcdClient Client;
  CurlLoop Loop;
};

std::string_view toString(StoreCallKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

EtcdStore::EtcdStore(EtcdStoreOptions Options, RandomSource &Random)
    : m_Impl(std::make_shared<Impl>(std::move(Options), Random)) {}

EtcdStore::~EtcdStore() = default;

StoreCallCounts EtcdStore::counts() const { return m_Impl->Client.counts(); }

void EtcdStore::get(std::string_view Key, Callback<Entries> Done) {
  etcd::RangeRequest Request;
  Request.Key = Key;
  m_Impl->readRange(Request, std::move(Done));
}

void EtcdStore::range(std::string_view Prefix, std::string_view From,
                      std::int64_t Limit, Callback<Entries> Done) {
  etcd::RangeRequest Request;
  Request.Key = std::max(Prefix, From);
  Request.End = etcd::endOfPrefix(Prefix);
  Request.Limit = Limit;
  m_Impl->readRange(Request, std::move(Done));
}

void EtcdStore::last(std::string_view Prefix, std::int64_t Limit,
                     Callback<Entries> Done) {
  etcd::RangeRequest Request;
  Request.Key = Prefix;
  Request.End = etcd::endOfPrefix(Prefix);
  Request.Limit = Limit;
  Request.Order = etcd::KeyOrder::Descending;
  m_Impl->readRange(Request, std::move(Done));
}

void EtcdStore::lastKey(std::string_view Prefix, Callback<Entries> Done) {
  etcd::RangeRequest Request;
  Request.Key = Prefix;
  Request.End = etcd::endOfPrefix(Prefix);
  Request.Limit = 1;
  Request.Order = etcd::KeyOrder::Descending;
  Request.KeysOnly = true;
  m_Impl->readRange(Request, std::move(Done));
}

void EtcdStore::compareAndSwap(StoreWrite Write,
                               Callback<StoreWriteResult> Done) {
  m_Impl->call(StoreCallKind::Write, "/v3/kv/txn", etcd::encodeWrite(Write),
               parseWith<StoreWriteResult>(&etcd::parseWrite, std::move(Done)));
}

void EtcdStore::remove(std::string_view Key, Callback<bool> Done) {
  m_Impl->call(StoreCallKind::Remove, "/v3/kv/deleterange",
               etcd::encodeRemove(Key),
               parseWith<bool>(&etcd::parseRemove, std::move(Done)));
}

void EtcdStore::grantLease(Duration TimeToLive, Callback<StoreLease> Done) {
  m_Impl->call(StoreCallKind::LeaseGrant, "/v3/lease/grant",
               etcd::encodeLeaseGrant(TimeToLive),
               parseWith<StoreLease>(&etcd::parseLeaseGrant, std::move(Done)));
}

void EtcdStore::keepLeaseAlive(std::int64_t Lease, Callback<StoreLease> Done) {
  m_Impl->call(StoreCallKind::LeaseKeepAlive, "/v3/lease/keepalive",
               etcd::encodeLeaseId(Lease),
               parseWith<StoreLease>(&etcd::parseKeepAlive,
                                     orLeaseLost(std::move(Done))));
}

void EtcdStore::revokeLease(std::int64_t Lease, Callback<bool> Done) {
  m_Impl->call(StoreCallKind::LeaseRevoke, "/v3/lease/revoke",
               etcd::encodeLeaseId(Lease),
               [Done = std::move(Done)](Expected<std::string> Body) {
                 if (Body)
                   Done(true);
                 else if (Body.error() == Errc::NotFound)
                   Done(false);
                 else
                   Done(unexpected(Body.error()));
               });
}

std::unique_ptr<StoreWatch>
EtcdStore::watch(std::string_view Prefix,
                 std::function<void(Expected<Entries>)> Changed) {
  auto Stream = std::make_shared<WatchStream>(
      m_Impl->Loop, m_Impl->Client, std::string(Prefix), std::move(Changed));
  m_Impl->Loop.post([Stream] { Stream->open(); });
  return std::make_unique<WatchHandle>([Stream, Weak = std::weak_ptr(m_Impl)] {
    if (const auto Owner = Weak.lock())
      Owner->Loop.post([Stream] { Stream->stop(); });
  });
}

} // namespace mangodeck
