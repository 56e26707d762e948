#include "mangodeck/common/base64.h"

#include <openssl/evp.h>

namespace mangodeck {

std::string encodeBase64(std::string_view Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
                                      "opqrstuvwxyz0123456789+/";
  if (Text.empty())
    return std::string();
  // Step 1. Check the format, since EVP_DecodeBlock also accepts misplaced
  // padding and white space.
  const auto End = Text.find('=');
  const auto Padding = End == Text.npos ? 0 : Text.size() - End;
  const auto Body = Text.substr(0, Text.size() - Padding);
  if (Text.size() % 4 != 0 || Padding > 2 ||
      Body.find_first_not_of(Digits) != Body.npos ||
      Text.find_first_not_of('=', Body.size()) != Text.npos)
    return std::nullopt;
  // Step 2. Decode, and remove the bytes that were decoded from padding.
  std::string Bytes(Text.size() / 4 * 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

} // namespace mangodeck
