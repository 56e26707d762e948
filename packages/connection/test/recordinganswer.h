#ifndef MANGODECK_CONNECTION_TEST_RECORDINGANSWER_H
#define MANGODECK_CONNECTION_TEST_RECORDINGANSWER_H

#include "recordinghandler.h"

#include "mangodeck/request/targetclient.h"

#include <optional>
#include <string>

namespace mangodeck {

/// Keeps what a target client reports of one request.
class RecordingAnswer : public TargetAnswer {
public:
  void onHead(int NewStatus, std::span<const Header>) override {
    const std::lock_guard Lock(m_Mutex);
    Status = NewStatus;
    ++Heads;
  }

  void onBody(std::string_view Bytes) override {
    const std::lock_guard Lock(m_Mutex);
    Body += Bytes;
    m_Changed.notify_all();
  }

  void onEnd(TargetEnd End, bool IsGone) override {
    const std::lock_guard Lock(m_Mutex);
    m_End = End;
    Gone = IsGone;
    ++Ends;
    m_Changed.notify_all();
  }

  void onResumed() override {
    const std::lock_guard Lock(m_Mutex);
    ++Resumes;
  }

  /// Waits for the end; std::nullopt if none came.
  std::optional<TargetEnd> awaitEnd() {
    std::unique_lock Lock(m_Mutex);
    m_Changed.wait_for(Lock, 3 * TestWaitLimit,
                       [&] { return m_End.has_value(); });
    return m_End;
  }

  bool awaitBody(std::size_t Bytes) {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, TestWaitLimit,
                              [&] { return Body.size() >= Bytes; });
  }

  // To be read after the end.
  int Status = 0;
  int Heads = 0;
  int Ends = 0;
  int Resumes = 0;
  bool Gone = false;
  std::string Body;

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::optional<TargetEnd> m_End;
};

} // namespace mangodeck

#endif
