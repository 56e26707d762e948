#ifndef MANGODECK_VERSION_SRC_RECORDFIELDS_H
#define MANGODECK_VERSION_SRC_RECORDFIELDS_H

#include "mangodeck/version/record.h"

#include <array>

namespace mangodeck {

/// How often a field must be written.
enum class Presence : std::uint8_t { Optional, Required };

/// What a text may consist of.
enum class TextForm : std::uint8_t {
  Identifier, ///< Letters, digits, '.', '_' and '-'; 1 to 64 characters.
  Sha256,     ///< 64 lower-case hexadecimal digits.
  Address,    ///< IP:PORT; an IPv6 address stands in brackets.
  Free,       ///< 1 to 256 printable characters.
};

/// A field's name, the schema it came with, and whether it must be written.
struct FieldSpec {
  std::string_view Name;
  SchemaNumber Since = 1;
  Presence Need = Presence::Optional;
};

inline constexpr std::array<std::string_view, 2> ServiceKindNames = {"model",
                                                                     "plain"};
inline constexpr double MaxRate = 1e9;

/// Each function below lists the fields of one kind, once, for whoever reads
/// or writes records: a visitor has text(), textList(), integer(), number(),
/// flag(), duration() and choice(), which take the field by reference.
template <typename Visitor> void visitFields(Visitor &V, TierRecord &Record) {
  auto &F = Record.Fields;
  V.integer({"rank", 1, Presence::Required}, F.Rank, 0, 31);
  V.duration({"first-token-target"}, F.FirstTokenTarget, 1ms, 600s);
  V.duration({"token-gap-target"}, F.TokenGapTarget, 1ms, 60s);
  V.duration({"default-deadline"}, F.DefaultDeadline, 1ms, 86400s);
  V.number({"reserve", 2}, F.Reserve, 0.0, 0.5);
}

template <typename Visitor>
void visitFields(Visitor &V, ServiceRecord &Record) {
  auto &F = Record.Fields;
  V.choice({"type", 1, Presence::Required}, F.Kind, ServiceKindNames);
  V.text({"model"}, F.Model, TextForm::Free);
  V.flag({"idempotent"}, F.Idempotent);
  V.integer({"queue-limit"}, F.QueueLimit, 1, 1000000);
  V.integer({"slices-per-domain", 2}, F.SlicesPerDomain, 1, 1000);
}

template <typename Visitor>
void visitFields(Visitor &V, CustomerRecord &Record) {
  auto &F = Record.Fields;
  V.textList({"key-hashes", 1, Presence::Required}, F.KeyHashes,
             TextForm::Sha256);
  V.text({"highest-tier", 1, Presence::Required}, Record.HighestTier.Text,
         TextForm::Identifier);
  V.number({"requests-per-second"}, F.RequestsPerSecond, 0.0, MaxRate);
  V.integer({"concurrency"}, F.Concurrency, 0, 1000000);
  V.number({"weight"}, F.Weight, 0.001, 1000.0);
  V.nameList({"services"}, F.Services);
  V.number({"tokens-per-second", 2}, F.TokensPerSecond, 0.0, MaxRate);
}

template <typename Visitor> void visitFields(Visitor &V, TargetRecord &Record) {
  auto &F = Record.Fields;
  V.text({"service", 1, Presence::Required}, F.Service.Text,
         TextForm::Identifier);
  V.text({"failure-domain", 1, Presence::Required}, F.Domain.Text,
         TextForm::Identifier);
  V.text({"address", 1, Presence::Required}, F.Address, TextForm::Address);
  V.integer({"max-sequences"}, F.MaxSequences, 1, 100000);
  V.flag({"draining"}, F.Draining);
  V.text({"hardware-generation", 2, Presence::Required}, F.HardwareGeneration,
         TextForm::Identifier);
  V.integer({"kv-tokens", 2}, F.KvTokens, 0, 1000000000);
  V.flag({"checks-fencing", 2, Presence::Required}, F.ChecksFencing);
}

template <typename Visitor>
void visitFields(Visitor &V, AdoptionRecord &Record) {
  V.integer({"in-force", 1, Presence::Required}, Record.InForce, 1, 1000000);
}

template <typename Visitor> void visitFields(Visitor &, OpaqueRecord &) {}

/// An empty body of \p Kind, with the record's name filled in.
RecordBody makeBody(RecordKind Kind, std::string_view Name);

} // namespace mangodeck

#endif
