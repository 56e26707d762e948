#ifndef MANGODECK_PROCESS_OWNERPUBLISHER_H
#define MANGODECK_PROCESS_OWNERPUBLISHER_H

#include "mangodeck/process/ownertable.h"

#include <memory>

namespace mangodeck {

/// Holds the owner table in force. One thread replaces it; any number of
/// request threads read it by read-copy-update, without locks or writes to
/// shared memory.
class OwnerPublisher {
public:
  /// Keeps the table that was in force at its construction readable. Short
  /// lived; must not outlive a blocking call, as it holds up publish().
  class Reader {
  public:
    explicit Reader(const OwnerPublisher &Publisher);
    ~Reader();
    Reader(const Reader &) = delete;
    Reader &operator=(const Reader &) = delete;

    const OwnerTable &operator*() const { return *m_Table; }
    const OwnerTable *operator->() const { return m_Table; }

  private:
    const OwnerTable *m_Table;
  };

  OwnerPublisher();
  ~OwnerPublisher();
  OwnerPublisher(const OwnerPublisher &) = delete;
  OwnerPublisher &operator=(const OwnerPublisher &) = delete;

  /// Puts \p Table in force, and frees the earlier one when no thread reads
  /// it any more. Waits for the readers; to be called from one thread only,
  /// which must not hold a Reader.
  void publish(OwnerTable Table);

private:
  OwnerTable *m_Table;
};

} // namespace mangodeck

#endif
