#include "adminclient.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <memory>

namespace mangodeck {

namespace {

constexpr std::size_t MaxBodyBytes = 64 << 20;

struct HandleDeleter {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};

struct ListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};

/// Host names are never resolved, so only the characters of an IP address and a
/// port are accepted.
bool isAddress(std::string_view Text) {
  return Text.find(':') != std::string_view::npos &&
         Text.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
             std::string_view::npos;
}

/// Write callback of libcurl. A return value below the number of bytes given
/// aborts the transfer.
std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *UserData) {
  auto &Body = *static_cast<std::string *>(UserData);
  const auto Bytes = Size * Count;
  if (Body.size() + Bytes > MaxBodyBytes)
    return 0;
  Body.append(Data, Bytes);
  return Bytes;
}

std::error_code toError(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return {};
  case CURLE_OPERATION_TIMEDOUT:
    return Errc::Timeout;
  case CURLE_WRITE_ERROR:
    return Errc::LimitExceeded;
  default:
    return Errc::Unavailable;
  }
}

} // namespace

Expected<AdminResponse> callAdmin(std::string_view Address,
                                  std::string_view Path, std::string_view Body,
                                  Duration Timeout,
                                  std::span<const std::string> Fields) {
  if (!isAddress(Address))
    return unexpected(Errc::InvalidInput);
  const std::unique_ptr<CURL, HandleDeleter> Handle(curl_easy_init());
  if (!Handle)
    return unexpected(Errc::Unavailable);
  const auto Url = fmt::format("http://{}{}", Address, Path);
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count();
  AdminResponse Response;
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Milliseconds));
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &Response.Body);
  if (!Body.empty()) {
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Body.size()));
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, Body.data());
  }
  std::unique_ptr<curl_slist, ListDeleter> List;
  for (const auto &Field : Fields)
    List.reset(curl_slist_append(List.release(), Field.c_str()));
  if (List)
    curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, List.get());
  if (const auto Error = toError(curl_easy_perform(Handle.get())))
    return unexpected(Error);
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Response.Status);
  return Response;
}

} // namespace mangodeck
