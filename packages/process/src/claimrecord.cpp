#include "mangodeck/process/claimregistry.h"

#include "generated/claim.pb.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>

namespace mangodeck {

std::string encodeClaim(const ClaimRecord &Record) {
  storewire::Claim Wire;
  Wire.set_daemon(Record.Daemon.Text);
  Wire.set_started(Record.Started);
  Wire.set_nonce_high(Record.Nonce.High);
  Wire.set_nonce_low(Record.Nonce.Low);
  Wire.set_fingerprint(Record.Fingerprint);
  Wire.set_state(static_cast<std::uint32_t>(Record.State));
  Wire.set_answer_status(static_cast<std::uint32_t>(Record.Answer.Status));
  Wire.set_answer_type(Record.Answer.ContentType);
  Wire.set_answer_body(Record.Answer.Body);
  Wire.set_answer_cut(Record.Answer.BodyOmitted);
  return Wire.SerializeAsString();
}

Expected<ClaimRecord> decodeClaim(std::string_view Bytes) {
  storewire::Claim Wire;
  if (!Wire.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      Wire.state() > static_cast<std::uint32_t>(ClaimState::Released))
    return unexpected(Errc::InvalidInput);
  ClaimRecord Record;
  Record.Daemon = VmName(Wire.daemon());
  Record.Started = Wire.started();
  Record.Nonce = {Wire.nonce_high(), Wire.nonce_low()};
  Record.Fingerprint = Wire.fingerprint();
  Record.State = static_cast<ClaimState>(Wire.state());
  Record.Answer.Status = static_cast<int>(Wire.answer_status());
  Record.Answer.ContentType = Wire.answer_type();
  Record.Answer.Body = Wire.answer_body();
  Record.Answer.BodyOmitted = Wire.answer_cut();
  return Record;
}

std::string claimKey(const CustomerName &Customer, std::string_view Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  std::string Result = "once/" + Customer.Text + "/";
  for (const auto Byte : Digest)
    Result += fmt::format("{:02x}", Byte);
  return Result;
}

} // namespace mangodeck
