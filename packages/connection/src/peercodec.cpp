#include "peercodec.h"

#include "generated/peer.pb.h"

#include <algorithm>
#include <limits>

namespace mangodeck {

namespace {

constexpr std::size_t IdBytes = 16;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::int64_t MaxTokens = 1LL << 40;
constexpr std::uint32_t MaxByte = 255;
/// About ten years; durations beyond are cut to it.
constexpr std::int64_t MaxSpanMicroseconds = 315'360'000'000'000;

/// Set by the readers below when a value is out of range.
struct ReadContext {
  TimePoint Now;
  bool Failed = false;

  template <typename T> T require(bool Holds, T Value) {
    Failed = Failed || !Holds;
    return Holds ? std::move(Value) : T{};
  }
};

// --- Values ----------------------------------------------------------------

std::string writeId(const RequestId &Id) {
  std::string Bytes(IdBytes, '\0');
  for (std::size_t I = 0; I < IdBytes; ++I) {
    const auto Half = I < 8 ? Id.High : Id.Low;
    Bytes[I] = static_cast<char>(Half >> (8 * (7 - I % 8)));
  }
  return Bytes;
}

RequestId readId(const std::string &Bytes, ReadContext &Context) {
  if (Bytes.size() != IdBytes)
    return Context.require(false, RequestId{});
  std::uint64_t Halves[2] = {0, 0};
  for (std::size_t I = 0; I < IdBytes; ++I)
    Halves[I / 8] = Halves[I / 8] << 8 | static_cast<unsigned char>(Bytes[I]);
  return {Halves[0], Halves[1]};
}

std::int64_t writeSpan(Duration Span) {
  const auto Value =
      std::chrono::duration_cast<std::chrono::microseconds>(Span).count();
  return std::clamp<std::int64_t>(Value, -MaxSpanMicroseconds,
                                  MaxSpanMicroseconds);
}

/// Difference of two points without overflow, also for TimePoint::max().
Duration subtract(TimePoint A, TimePoint B) {
  std::int64_t Result = 0;
  if (__builtin_sub_overflow(A.time_since_epoch().count(),
                             B.time_since_epoch().count(), &Result))
    return A > B ? Duration::max() : Duration::min();
  return Duration(Result);
}

Duration readSpan(std::int64_t Value) {
  return std::chrono::microseconds(std::clamp<std::int64_t>(
      Value, -MaxSpanMicroseconds, MaxSpanMicroseconds));
}

/// Names may come to logs, so control characters are refused.
bool isName(std::string_view Text) {
  return Text.size() <= MaxNameBytes &&
         std::none_of(Text.begin(), Text.end(),
                      [](unsigned char C) { return C < 0x20 || C == 0x7f; });
}

template <typename T>
T readName(const std::string &Text, ReadContext &Context) {
  return T(Context.require(isName(Text), Text));
}

TokenCount readTokens(std::int64_t Value, ReadContext &Context) {
  return Context.require(Value >= 0 && Value <= MaxTokens, Value);
}

std::uint8_t readByte(std::uint32_t Value, ReadContext &Context) {
  return static_cast<std::uint8_t>(Context.require(Value <= MaxByte, Value));
}

/// Reads an enumerator; a newer daemon's unknown one becomes \p Otherwise.
template <typename T> T readEnum(std::uint32_t Value, T Last, T Otherwise) {
  return Value <= static_cast<std::uint32_t>(Last) ? static_cast<T>(Value)
                                                   : Otherwise;
}

template <typename T> std::uint32_t writeEnum(T Value) {
  return static_cast<std::uint32_t>(Value);
}

void write(proto::Group &Out, const GroupId &Group) {
  Out.set_service(Group.Service.Text);
  Out.set_domain(Group.Domain.Text);
  Out.set_slice(Group.Slice);
}

GroupId read(const proto::Group &In, ReadContext &Context) {
  return {readName<ServiceName>(In.service(), Context),
          readName<FailureDomain>(In.domain(), Context), In.slice()};
}

void write(proto::Ticket &Out, const Ticket &Request, const GroupId &Group,
           TimePoint Now) {
  Out.set_id(writeId(Request.Id));
  Out.set_entry(Request.Entry.Text);
  Out.set_customer(Request.Customer.Text);
  if (Request.Service != Group.Service)
    Out.set_service(Request.Service.Text);
  Out.set_tier(Request.Tier);
  Out.set_elapsed_us(writeSpan(subtract(Now, Request.Arrival)));
  Out.set_remaining_us(writeSpan(subtract(Request.Deadline, Now)));
  Out.set_prompt_tokens(Request.PromptTokens);
  Out.set_output_tokens(Request.OutputTokens);
  Out.mutable_prefix_blocks()->Add(Request.PrefixBlocks.begin(),
                                   Request.PrefixBlocks.end());
  Out.set_tokens_per_block(Request.TokensPerBlock);
  Out.set_fingerprint(Request.Fingerprint);
  Out.set_non_idempotent(!Request.Idempotent);
  Out.set_hops(Request.Hops);
}

Ticket read(const proto::Ticket &In, const GroupId &Group,
            ReadContext &Context) {
  Ticket Request;
  Request.Id = readId(In.id(), Context);
  Request.Entry = readName<VmName>(In.entry(), Context);
  Request.Customer = readName<CustomerName>(In.customer(), Context);
  Request.Service = In.service().empty()
                        ? Group.Service
                        : readName<ServiceName>(In.service(), Context);
  Request.Tier = readByte(In.tier(), Context);
  Request.Arrival = Context.Now - readSpan(In.elapsed_us());
  Request.Deadline = Context.Now + readSpan(In.remaining_us());
  Request.PromptTokens = readTokens(In.prompt_tokens(), Context);
  Request.OutputTokens = readTokens(In.output_tokens(), Context);
  Request.PrefixBlocks.assign(In.prefix_blocks().begin(),
                              In.prefix_blocks().end());
  Request.TokensPerBlock = readTokens(In.tokens_per_block(), Context);
  Request.Fingerprint = In.fingerprint();
  Request.Idempotent = !In.non_idempotent();
  Request.Hops = readByte(In.hops(), Context);
  return Request;
}

// --- Writers, one for each kind --------------------------------------------

void write(proto::Envelope &Out, const SubmitTicket &In, TimePoint Now) {
  auto &To = *Out.mutable_submit_ticket();
  write(*To.mutable_group(), In.Group);
  write(*To.mutable_ticket(), In.Request, In.Group, Now);
}

void write(proto::Envelope &Out, const WithdrawTicket &In, TimePoint) {
  auto &To = *Out.mutable_withdraw_ticket();
  write(*To.mutable_group(), In.Group);
  To.set_request(writeId(In.Request));
}

void write(proto::Envelope &Out, const GrantTicket &In, TimePoint) {
  auto &To = *Out.mutable_grant_ticket();
  write(*To.mutable_group(), In.Granted.Group);
  To.set_request(writeId(In.Granted.Request));
  To.set_target(In.Granted.Target.Text);
  To.set_target_incarnation(In.Granted.TargetIncarnation);
  To.set_epoch(In.Granted.Epoch);
}

void write(proto::Envelope &Out, const RefuseTicket &In, TimePoint) {
  auto &To = *Out.mutable_refuse_ticket();
  To.set_request(writeId(In.Request));
  To.set_reason(writeEnum(In.Reason.Reason));
  To.set_retry_after_us(writeSpan(In.Reason.RetryAfter));
}

void write(proto::Envelope &Out, const MoveTicket &In, TimePoint) {
  auto &To = *Out.mutable_move_ticket();
  To.set_request(writeId(In.Request));
  write(*To.mutable_to(), In.To);
}

void write(proto::Envelope &Out, const ReturnGrant &In, TimePoint) {
  auto &To = *Out.mutable_return_grant();
  write(*To.mutable_group(), In.Group);
  To.set_request(writeId(In.Request));
  To.set_target(In.Target.Text);
  To.set_reason(writeEnum(In.Reason));
}

void write(proto::Envelope &Out, const ReportFinish &In, TimePoint) {
  auto &To = *Out.mutable_report_finish();
  write(*To.mutable_group(), In.Group);
  To.set_request(writeId(In.Report.Request));
  To.set_target(In.Report.Target.Text);
  To.set_kind(writeEnum(In.Report.Kind));
  To.set_prompt_tokens(In.Report.PromptTokens);
  To.set_cached_tokens(In.Report.CachedTokens);
  To.set_output_tokens(In.Report.OutputTokens);
  To.set_first_token_us(writeSpan(In.Report.TimeToFirstToken));
  To.set_decode_us(writeSpan(In.Report.DecodeTime));
}

void write(proto::Envelope &Out, const ReportRunning &In, TimePoint Now) {
  auto &To = *Out.mutable_report_running();
  write(*To.mutable_group(), In.Group);
  for (const auto &Running : In.Running) {
    auto &Entry = *To.add_running();
    write(*Entry.mutable_ticket(), Running.Request, In.Group, Now);
    Entry.set_target(Running.Target.Text);
    Entry.set_target_incarnation(Running.TargetIncarnation);
    Entry.set_running_us(writeSpan(Running.RunningTime));
  }
}

void write(proto::Envelope &Out, const FetchRevisions &In, TimePoint) {
  Out.mutable_fetch_revisions()->set_after(In.After);
}

void write(proto::Envelope &Out, const OfferRevisions &In, TimePoint) {
  auto &To = *Out.mutable_offer_revisions();
  for (const auto &Revision : In.Entries) {
    auto &Entry = *To.add_entries();
    Entry.set_number(Revision.Number);
    Entry.set_value(Revision.Value);
  }
}

void write(proto::Envelope &Out, const JoinKey &In, TimePoint) {
  auto &To = *Out.mutable_join_key();
  To.set_key(In.Key);
  To.set_request(writeId(In.Request));
}

void write(proto::Envelope &Out, const KeyHolder &In, TimePoint) {
  auto &To = *Out.mutable_key_holder();
  To.set_request(writeId(In.Request));
  To.set_holder(In.Holder.Text);
  To.set_held_request(writeId(In.HeldRequest));
}

void write(proto::Envelope &Out, const FollowAnswer &In, TimePoint) {
  auto &To = *Out.mutable_follow_answer();
  To.set_request(writeId(In.Request));
  To.set_held_request(writeId(In.HeldRequest));
}

void write(proto::Envelope &Out, const AnswerPart &In, TimePoint) {
  auto &To = *Out.mutable_answer_part();
  To.set_request(writeId(In.Request));
  To.set_offset(In.Offset);
  To.set_status(static_cast<std::uint32_t>(std::max(In.Status, 0)));
  To.set_content_type(In.ContentType);
  To.set_bytes(In.Bytes);
  To.set_last(In.Last);
  To.set_run(writeEnum(In.RunState));
}

void write(proto::Envelope &Out, const ReleaseKey &In, TimePoint) {
  auto &To = *Out.mutable_release_key();
  To.set_key(In.Key);
  To.set_request(writeId(In.Request));
}

// --- Readers, one for each kind --------------------------------------------

PeerMessage read(const proto::SubmitTicket &In, ReadContext &Context) {
  auto Group = read(In.group(), Context);
  auto Request = read(In.ticket(), Group, Context);
  return SubmitTicket{std::move(Group), std::move(Request)};
}

PeerMessage read(const proto::WithdrawTicket &In, ReadContext &Context) {
  return WithdrawTicket{read(In.group(), Context),
                        readId(In.request(), Context)};
}

PeerMessage read(const proto::GrantTicket &In, ReadContext &Context) {
  return GrantTicket{{readId(In.request(), Context), read(In.group(), Context),
                      readName<TargetName>(In.target(), Context),
                      In.target_incarnation(), In.epoch()}};
}

PeerMessage read(const proto::RefuseTicket &In, ReadContext &Context) {
  return RefuseTicket{
      readId(In.request(), Context),
      {readEnum(In.reason(), NotRunReason::KeyInUse, NotRunReason::Shed),
       readSpan(In.retry_after_us())}};
}

PeerMessage read(const proto::MoveTicket &In, ReadContext &Context) {
  return MoveTicket{readId(In.request(), Context), read(In.to(), Context)};
}

PeerMessage read(const proto::ReturnGrant &In, ReadContext &Context) {
  return ReturnGrant{
      read(In.group(), Context), readId(In.request(), Context),
      readName<TargetName>(In.target(), Context),
      readEnum(In.reason(), ReturnReason::Duplicate, ReturnReason::Withdrawn)};
}

PeerMessage read(const proto::ReportFinish &In, ReadContext &Context) {
  ReportFinish Result{read(In.group(), Context), {}};
  auto &Report = Result.Report;
  Report.Request = readId(In.request(), Context);
  Report.Target = readName<TargetName>(In.target(), Context);
  Report.Kind = readEnum(In.kind(), FinishKind::Lost, FinishKind::Lost);
  Report.PromptTokens = readTokens(In.prompt_tokens(), Context);
  Report.CachedTokens = readTokens(In.cached_tokens(), Context);
  Report.OutputTokens = readTokens(In.output_tokens(), Context);
  Report.TimeToFirstToken = readSpan(In.first_token_us());
  Report.DecodeTime = readSpan(In.decode_us());
  return Result;
}

PeerMessage read(const proto::ReportRunning &In, ReadContext &Context) {
  ReportRunning Result{read(In.group(), Context), {}};
  for (const auto &Entry : In.running())
    Result.Running.push_back({read(Entry.ticket(), Result.Group, Context),
                              readName<TargetName>(Entry.target(), Context),
                              Entry.target_incarnation(),
                              readSpan(Entry.running_us())});
  return Result;
}

PeerMessage read(const proto::FetchRevisions &In, ReadContext &) {
  return FetchRevisions{In.after()};
}

PeerMessage read(const proto::OfferRevisions &In, ReadContext &) {
  OfferRevisions Result;
  for (const auto &Entry : In.entries())
    Result.Entries.push_back({Entry.number(), Entry.value()});
  return Result;
}

PeerMessage read(const proto::JoinKey &In, ReadContext &Context) {
  return JoinKey{In.key(), readId(In.request(), Context)};
}

PeerMessage read(const proto::KeyHolder &In, ReadContext &Context) {
  return KeyHolder{readId(In.request(), Context),
                   readName<VmName>(In.holder(), Context),
                   readId(In.held_request(), Context)};
}

PeerMessage read(const proto::FollowAnswer &In, ReadContext &Context) {
  return FollowAnswer{readId(In.request(), Context),
                      readId(In.held_request(), Context)};
}

PeerMessage read(const proto::AnswerPart &In, ReadContext &Context) {
  constexpr std::uint32_t MaxStatus = 999;
  const auto Status = Context.require(In.status() <= MaxStatus, In.status());
  return AnswerPart{readId(In.request(), Context),
                    In.offset(),
                    static_cast<int>(Status),
                    In.content_type(),
                    In.bytes(),
                    In.last(),
                    readEnum(In.run(), Run::Unknown, Run::Unknown)};
}

PeerMessage read(const proto::ReleaseKey &In, ReadContext &Context) {
  return ReleaseKey{In.key(), readId(In.request(), Context)};
}

std::optional<PeerMessage> read(const proto::Envelope &In,
                                ReadContext &Context) {
  switch (In.message_case()) {
  case proto::Envelope::kSubmitTicket:
    return read(In.submit_ticket(), Context);
  case proto::Envelope::kWithdrawTicket:
    return read(In.withdraw_ticket(), Context);
  case proto::Envelope::kGrantTicket:
    return read(In.grant_ticket(), Context);
  case proto::Envelope::kRefuseTicket:
    return read(In.refuse_ticket(), Context);
  case proto::Envelope::kReturnGrant:
    return read(In.return_grant(), Context);
  case proto::Envelope::kReportFinish:
    return read(In.report_finish(), Context);
  case proto::Envelope::kReportRunning:
    return read(In.report_running(), Context);
  case proto::Envelope::kFetchRevisions:
    return read(In.fetch_revisions(), Context);
  case proto::Envelope::kOfferRevisions:
    return read(In.offer_revisions(), Context);
  case proto::Envelope::kJoinKey:
    return read(In.join_key(), Context);
  case proto::Envelope::kKeyHolder:
    return read(In.key_holder(), Context);
  case proto::Envelope::kFollowAnswer:
    return read(In.follow_answer(), Context);
  case proto::Envelope::kAnswerPart:
    return read(In.answer_part(), Context);
  case proto::Envelope::kReleaseKey:
    return read(In.release_key(), Context);
  case proto::Envelope::kMoveTicket:
    return read(In.move_ticket(), Context);
  case proto::Envelope::MESSAGE_NOT_SET:
    break;
  }
  return std::nullopt;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &Message, TimePoint Now) {
  proto::Envelope Out;
  std::visit([&](const auto &Kind) { write(Out, Kind, Now); }, Message);
  return Out.SerializeAsString();
}

/// Concatenated protobuf encodings merge into one message, so the trailer
/// needs no second encoding of the message itself.
std::string encodeTrailer(std::optional<HybridTime> Clock, Duration Queued) {
  proto::Envelope Out;
  if (Clock)
    Out.set_clock(Clock->Value);
  Out.set_queued_us(
      static_cast<std::uint64_t>(std::max<std::int64_t>(writeSpan(Queued), 0)));
  return Out.SerializeAsString();
}

Expected<PeerEnvelope> decodePeerMessage(std::string_view Bytes,
                                         TimePoint Now) {
  proto::Envelope In;
  if (Bytes.size() > std::numeric_limits<int>::max() ||
      !In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return unexpected(Errc::InvalidInput);
  const auto Queued =
      std::min<std::uint64_t>(In.queued_us(), MaxSpanMicroseconds);
  ReadContext Context{Now - readSpan(static_cast<std::int64_t>(Queued))};
  PeerEnvelope Result;
  Result.Message = read(In, Context);
  if (Context.Failed)
    return unexpected(Errc::InvalidInput);
  if (In.clock() != 0)
    Result.Clock = HybridTime{In.clock()};
  return Result;
}

} // namespace mangodeck
