#ifndef MANGODECK_GATEWAY_TEST_ENGINEMODEL_H
#define MANGODECK_GATEWAY_TEST_ENGINEMODEL_H

#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace mangodeck {

/// An answer that a modelled engine computes.
struct ModelStream {
  std::uint64_t Number = 0;
  TokenCount PromptTokens = 0;
  TokenCount OutputTokens = 0;
  TokenCount ToRead = 0; ///< Prompt tokens that are not read yet.
  TokenCount Made = 0;   ///< Output tokens.
};

/// A model of an engine: it decodes one token for each running stream in a
/// step, reads prompts in chunks within the steps, keeps streams beyond its
/// slots waiting, and preempts the newest stream when its memory is full. Its
/// machine is slowed down from time to time.
class EngineModel {
public:
  static constexpr TokenCount ChunkTokens = 2048;
  static constexpr double SlowPace = 2.5; ///< Factor while slowed down.
  static constexpr double SlowShare = 0.15;
  static constexpr double SlowSeconds = 0.6;

  EngineModel(double Slowness, std::uint32_t Slots, TokenCount Memory,
              std::uint64_t Seed, bool HasNoise)
      : m_Slowness(Slowness), m_Slots(Slots), m_Memory(Memory), m_Random(Seed),
        m_HasNoise(HasNoise) {}

  void add(ModelStream Added) {
    Added.ToRead = Added.PromptTokens;
    m_Streams.push_back(Added);
  }
  void remove(std::uint64_t Number) {
    std::erase_if(m_Streams, [&](const ModelStream &Each) {
      return Each.Number == Number;
    });
  }
  double pace() const { return m_Pace; }

  /// Computes until \p Now. Calls \p OnTokens(Stream, Time) for each stream
  /// after each of its tokens; the last one ends the stream.
  template <typename Handler> void advance(TimePoint Now, Handler OnTokens) {
    while (m_Clock < Now) {
      if (m_Streams.empty()) {
        m_Clock = Now;
        break;
      }
      step(OnTokens);
    }
    updatePace(Now);
  }

private:
  template <typename Handler> void step(Handler OnTokens) {
    // Step 1. Choose what is read and which streams get a token.
    const auto Running = std::min<std::size_t>(m_Slots, m_Streams.size());
    TokenCount Chunk = 0;
    double ReadSeconds = 0;
    TokenCount Held = 0;
    std::vector<std::uint64_t> Decoding;
    for (std::size_t I = 0; I < Running; ++I) {
      auto &Each = m_Streams[I];
      Held += Each.PromptTokens + Each.Made;
      if (Each.ToRead == 0) {
        Decoding.push_back(Each.Number);
        continue;
      }
      const auto Part = std::min(ChunkTokens - Chunk, Each.ToRead);
      const auto Read = Each.PromptTokens - Each.ToRead;
      ReadSeconds += toSeconds(nominalPrefillTime(Read + Part)) -
                     toSeconds(nominalPrefillTime(Read));
      Each.ToRead -= Part;
      Chunk += Part;
    }
    // Step 2. Preempt the newest stream if the memory is full.
    if (Held > m_Memory && Running > 1) {
      auto &Newest = m_Streams[Running - 1];
      Newest.ToRead = Newest.PromptTokens + Newest.Made;
      std::rotate(m_Streams.begin() + Running - 1, m_Streams.begin() + Running,
                  m_Streams.end());
    }
    // Step 3. Pass the time and hand out the tokens.
    m_Clock += fromSeconds(
        m_Slowness * m_Pace *
        (ReadSeconds + toSeconds(nominalStepTime(
                           static_cast<std::uint32_t>(Decoding.size())))));
    for (const auto Number : Decoding) {
      const auto At = std::find_if(
          m_Streams.begin(), m_Streams.end(),
          [&](const ModelStream &Each) { return Each.Number == Number; });
      const bool Ends = ++At->Made == At->OutputTokens;
      const auto Copy = *At;
      if (Ends)
        m_Streams.erase(At);
      OnTokens(Copy, m_Clock);
    }
  }

  void updatePace(TimePoint Now) {
    if (!m_HasNoise || Now < m_PaceUntil)
      return;
    const bool IsSlow = m_Pace == 1 && m_PaceUntil != TimePoint{};
    m_Pace = IsSlow ? SlowPace : 1;
    const double Mean =
        IsSlow ? SlowSeconds : SlowSeconds * (1 - SlowShare) / SlowShare;
    m_PaceUntil = Now + fromSeconds(-std::log(1 - m_Random.uniform()) * Mean);
  }

  double m_Slowness;
  std::uint32_t m_Slots;
  TokenCount m_Memory;
  SeededRandom m_Random;
  bool m_HasNoise;
  double m_Pace = 1;
  TimePoint m_PaceUntil{};
  TimePoint m_Clock{};
  std::vector<ModelStream> m_Streams; ///< Oldest first; the first ones run.
};

} // namespace mangodeck

#endif
