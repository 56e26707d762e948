#include "httpcall.h"

#include <curl/curl.h>

namespace mangodeck::testing {

namespace {

std::size_t appendBody(char *Bytes, std::size_t Size, std::size_t Count,
                       void *Target) {
  static_cast<std::string *>(Target)->append(Bytes, Size * Count);
  return Size * Count;
}

std::size_t takeHeader(char *Bytes, std::size_t Size, std::size_t Count,
                       void *Target) {
  const std::string_view Line(Bytes, Size * Count);
  const auto Colon = Line.find(": ");
  if (Colon != std::string_view::npos)
    static_cast<std::vector<Header> *>(Target)->push_back(
        {std::string(Line.substr(0, Colon)),
         std::string(Line.substr(Colon + 2, Line.size() - Colon - 4))});
  return Size * Count;
}

} // namespace

std::string HttpReply::header(std::string_view Name) const {
  const auto *Value = findHeader(Headers, Name);
  return Value ? *Value : std::string();
}

HttpReply call(const std::string &Url, std::vector<std::string> Headers,
               const std::string &Body, long LimitSeconds) {
  HttpReply Reply;
  auto *Handle = curl_easy_init();
  curl_slist *List = nullptr;
  for (const auto &Line : Headers)
    List = curl_slist_append(List, Line.c_str());
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, List);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT, LimitSeconds);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Reply.Body);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, takeHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Reply.Headers);
  if (!Body.empty())
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Body.c_str());
  const auto Result = curl_easy_perform(Handle);
  Reply.IsWhole = Result == CURLE_OK;
  Reply.IsConnected = Result != CURLE_COULDNT_CONNECT;
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Reply.Status = static_cast<int>(Status);
  curl_slist_free_all(List);
  curl_easy_cleanup(Handle);
  return Reply;
}

} // namespace mangodeck::testing
