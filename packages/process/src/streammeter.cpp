#include "streammeter.h"

namespace mangodeck {

namespace {

constexpr std::string_view DataField = "data:";

} // namespace

void StreamMeter::onBytes(std::string_view Bytes, TimePoint Now) {
  if (Bytes.empty())
    return;
  if (m_FirstBytesAt == TimePoint{})
    m_FirstBytesAt = Now;
  m_LastBytesAt = Now;
  if (m_AtLineStart && Bytes.starts_with(DataField))
    ++m_Tokens;
  for (auto At = Bytes.find("\ndata:"); At != std::string_view::npos;
       At = Bytes.find("\ndata:", At + 1))
    ++m_Tokens;
  m_AtLineStart = Bytes.back() == '\n';
}

Duration StreamMeter::timeToFirstToken() const {
  return m_FirstBytesAt == TimePoint{} ? Duration{0}
                                       : m_FirstBytesAt - m_DispatchedAt;
}

Duration StreamMeter::meanTokenGap() const {
  return m_Tokens < 2 ? Duration{0} : decodeTime() / (m_Tokens - 1);
}

} // namespace mangodeck
