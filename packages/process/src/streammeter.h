#ifndef MANGODECK_PROCESS_STREAMMETER_H
#define MANGODECK_PROCESS_STREAMMETER_H

#include "mangodeck/common/units.h"

#include <string_view>

namespace mangodeck {

/// Measures an answer while it is streamed to the caller: time to the first
/// token, number of tokens, time from the first to the last token. Each data
/// line of the event stream counts as one token.
class StreamMeter {
public:
  void start(TimePoint DispatchedAt) { m_DispatchedAt = DispatchedAt; }
  void onBytes(std::string_view Bytes, TimePoint Now);

  TokenCount tokens() const { return m_Tokens; }

  /// Time from the dispatch to the first bytes; 0 before them.
  Duration timeToFirstToken() const;

  /// Time from the first bytes to the last ones so far.
  Duration decodeTime() const { return m_LastBytesAt - m_FirstBytesAt; }

  /// Mean gap between two tokens; 0 with fewer than two.
  Duration meanTokenGap() const;

private:
  TimePoint m_DispatchedAt;
  TimePoint m_FirstBytesAt;
  TimePoint m_LastBytesAt;
  TokenCount m_Tokens = 0;
  bool m_AtLineStart = true;
};

} // namespace mangodeck

#endif
