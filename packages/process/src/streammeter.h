#ifndef MANGODECK_PROCESS_STREAMMETER_H
#define MANGODECK_PROCESS_STREAMMETER_H

#include "mangodeck/common/units.h"

#include <string_view>

namespace mangodeck {

/// Measures an answer as it streams through: first token, tokens, time from
/// the first token to the last. An event-stream data line counts as one token.
class StreamMeter {
public:
  void start(TimePoint Dispatched) { m_Dispatched = Dispatched; }
  void onBytes(std::string_view Bytes, TimePoint Now);

  TokenCount tokens() const { return m_Tokens; }
  Duration timeToFirstToken() const;
  Duration decodeTime() const { return m_Last - m_First; }

  /// Mean gap between tokens; 0 with less than two tokens.
  Duration meanTokenGap() const;

private:
  TimePoint m_Dispatched;
  TimePoint m_First;
  TimePoint m_Last;
  TokenCount m_Tokens = 0;
  bool m_AtLineStart = true;
};

} // namespace mangodeck

#endif
