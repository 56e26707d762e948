#ifndef MANGODECK_COMMON_RCUPOINTER_H
#define MANGODECK_COMMON_RCUPOINTER_H

#include <atomic>
#include <memory>
#include <mutex>

namespace mangodeck {

namespace rcu {

/// Enters a read section on this thread; registers the thread with liburcu on
/// first use.
void enterRead();
void leaveRead();

/// Waits until every read section that was open at the call has ended.
void waitForReaders();

} // namespace rcu

/// An immutable value that is read without locks and replaced as a whole
/// (read-copy-update). Reading takes a few nanoseconds and never waits; a
/// writer waits until all readers of the replaced value have finished.
template <typename T> class RcuPointer {
public:
  /// An open read section; the value stays valid while this object exists. Keep
  /// it short and never block inside, since replace() waits for its end.
  class Reader {
  public:
    explicit Reader(const RcuPointer &Source) {
      rcu::enterRead();
      m_Value = Source.m_Current.load(std::memory_order_acquire);
    }
    ~Reader() { rcu::leaveRead(); }
    Reader(const Reader &) = delete;
    Reader &operator=(const Reader &) = delete;

    const T &operator*() const { return *m_Value; }
    const T *operator->() const { return m_Value; }

  private:
    const T *m_Value = nullptr;
  };

  explicit RcuPointer(std::shared_ptr<const T> Initial)
      : m_Owner(std::move(Initial)), m_Current(m_Owner.get()) {}

  Reader read() const { return Reader(*this); }

  /// Returns a counted reference, for uses that last longer than a read
  /// section.
  std::shared_ptr<const T> share() const {
    const std::lock_guard Lock(m_WriteMutex);
    return m_Owner;
  }

  /// Replaces the value; returns once no reader uses the old one.
  void replace(std::shared_ptr<const T> Next) {
    const std::lock_guard Lock(m_WriteMutex);
    m_Current.store(Next.get(), std::memory_order_release);
    rcu::waitForReaders();
    m_Owner = std::move(Next);
  }

private:
  mutable std::mutex m_WriteMutex;
  std::shared_ptr<const T> m_Owner;
  std::atomic<const T *> m_Current;
};

} // namespace mangodeck

#endif
