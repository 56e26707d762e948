// Prints how the bytes of revisions and images, and the time to take over one
// revision, grow with the number of records.
#include "records.h"

#include "mangodeck/version/compile.h"
#include "mangodeck/version/configurationfollower.h"

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>

namespace mangodeck {

namespace {

constexpr int Repetitions = 20;

struct Site {
  int Customers;
  int Targets;
  int Services;
};

/// Revision \p Number of a chain, from \p Before to \p After.
LogEntry makeEntry(RevisionNumber Number, const std::string &Parent,
                   const RecordSet &Before, const RecordSet &After) {
  auto Change = makeChange(Before, After);
  Change.Number = Number;
  Change.ParentDigest = Parent;
  Change.ChangeId = std::string(32, 'c');
  Change.Author = "operator";
  Change.Message = "raise the limit of one target";
  Change.WrittenAt = 1'800'000'000'000;
  return {Number, encodeRevision(Change)};
}

void measureSite(const Site &Size) {
  const auto HeapBefore = mallinfo2().uordblks;
  auto Records = makeLargeSite(Size.Customers, Size.Targets, Size.Services);
  // Step 1. A follower that starts from an image of all records.
  ConfigurationFollower Follower{{}};
  ConfigurationFollower::Actions Out;
  std::vector<LogEntry> Base{
      makeEntry(1, std::string(EmptyDigest), {}, Records)};
  const auto ImportBytes = Base.front().Value.size();
  std::size_t ImageBytes = 0;
  std::size_t LargestPart = 0;
  const auto Parts = encodeImage(1, Records);
  for (const auto &Part : Parts) {
    Base.push_back({1, Part});
    ImageBytes += Part.size();
    LargestPart = std::max(LargestPart, Part.size());
  }
  Follower.onPeerEntries(VmName("peer"), Base, TimePoint{}, Out);
  // Step 2. Revisions that change one target each.
  std::size_t Bytes = 0;
  Duration Taken{0};
  for (int I = 1; I <= Repetitions; ++I) {
    auto After = Records;
    for (auto &[Id, Entry] : After)
      if (auto *Body = std::get_if<TargetRecord>(&Entry.Body)) {
        Body->Fields.MaxSequences = static_cast<std::uint32_t>(100 + I);
        break;
      }
    const auto Entry = makeEntry(Follower.knownNumber() + 1,
                                 Follower.knownDigest(), Records, After);
    Bytes += Entry.Value.size();
    const auto Start = std::chrono::steady_clock::now();
    Follower.onWatch(std::span(&Entry, 1), TimePoint{}, Out);
    Taken += std::chrono::steady_clock::now() - Start;
    Records = std::move(After);
    Out.clear();
  }
  fmt::print("{:>6} records: import {} B, image {} B in {} parts (largest {}),"
             " one-record revision {} B, taken over in {:.1f} ms, in force {},"
             " heap with this program's own copy {} KB\n",
             Records.size(), ImportBytes, ImageBytes, Parts.size(), LargestPart,
             Bytes / Repetitions, toSeconds(Taken) * 1000 / Repetitions,
             Follower.inForceNumber(),
             (mallinfo2().uordblks - HeapBefore) / 1024);
}

} // namespace

} // namespace mangodeck

int main() {
  for (const auto &Size :
       {mangodeck::Site{5, 23, 2}, mangodeck::Site{625, 150, 10},
        mangodeck::Site{1250, 300, 19}, mangodeck::Site{2500, 600, 38}})
    mangodeck::measureSite(Size);
  return 0;
}
