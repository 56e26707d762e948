#ifndef MANGODECK_HTTP_SENDQUEUE_H
#define MANGODECK_HTTP_SENDQUEUE_H

#include "mangodeck/http/body.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::http {

/// The bytes that a connection has to write, in order. Small pieces are joined;
/// a long body is kept as it is.
class SendQueue {
public:
  /// What is written by one call: bytes, and a body behind them.
  struct Item {
    std::string Bytes;
    Body Large;
    std::size_t size() const { return Bytes.size() + Large.size(); }
    std::size_t heldBytes() const { return Bytes.size() + Large.capacity(); }
  };

  void append(std::string_view Bytes);
  void append(std::string_view Head, Body &&Content);
  /// Makes the next item the current one, which has been finished; false if
  /// there is none.
  bool startNext();
  /// The current item; its memory stays in place until finishCurrent().
  const Item &current() const { return m_Current; }
  void finishCurrent();
  /// Bytes of the current item and of those behind it.
  std::size_t size() const { return m_Size; }

private:
  Item m_Current;
  std::vector<Item> m_Next;
  std::string m_Spare; ///< Memory for the next item.
  std::size_t m_Size = 0;
};

} // namespace mangodeck::http

#endif
