#include "mangodeck/http/message.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>

namespace mangodeck::http {

namespace {

constexpr std::array<std::string_view, 9> HopByHopFields = {
    "connection",       "keep-alive", "proxy-authenticate",
    "proxy-connection", "te",         "trailer",
    "upgrade",          "expect",     "transfer-encoding"};

char lower(char C) { return C >= 'A' && C <= 'Z' ? char(C + 32) : C; }

void appendFields(std::string &Out, const HeaderList &Fields) {
  for (const auto &Field : Fields.fields()) {
    Out.append(Field.Name).append(": ").append(Field.Value).append("\r\n");
  }
  Out.append("\r\n");
}

} // namespace

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(),
                    [](char X, char Y) { return lower(X) == lower(Y); });
}

void HeaderList::add(std::string_view Name, std::string_view Value) {
  m_Fields.push_back({std::string(Name), std::string(Value)});
}

void HeaderList::set(std::string_view Name, std::string_view Value) {
  remove(Name);
  add(Name, Value);
}

void HeaderList::remove(std::string_view Name) {
  std::erase_if(m_Fields, [&](const HeaderField &Field) {
    return equalsIgnoreCase(Field.Name, Name);
  });
}

const std::string *HeaderList::find(std::string_view Name) const {
  for (const auto &Field : m_Fields)
    if (equalsIgnoreCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

std::string_view HeaderList::get(std::string_view Name) const {
  const auto *Value = find(Name);
  return Value ? std::string_view(*Value) : std::string_view();
}

std::size_t HeaderList::count(std::string_view Name) const {
  return static_cast<std::size_t>(
      std::count_if(m_Fields.begin(), m_Fields.end(), [&](const auto &Field) {
        return equalsIgnoreCase(Field.Name, Name);
      }));
}

void removeConnectionFields(HeaderList &Fields) {
  // Step 1. Collect the names that Connection fields list.
  std::vector<std::string> ListedNames;
  for (const auto &Field : Fields.fields()) {
    if (!equalsIgnoreCase(Field.Name, "connection"))
      continue;
    std::string_view Rest = Field.Value;
    while (!Rest.empty()) {
      const auto Comma = Rest.find(',');
      auto ListedName = Rest.substr(0, Comma);
      Rest = Comma == std::string_view::npos ? std::string_view()
                                             : Rest.substr(Comma + 1);
      while (!ListedName.empty() &&
             (ListedName.front() == ' ' || ListedName.front() == '\t'))
        ListedName.remove_prefix(1);
      while (!ListedName.empty() &&
             (ListedName.back() == ' ' || ListedName.back() == '\t'))
        ListedName.remove_suffix(1);
      if (!ListedName.empty())
        ListedNames.emplace_back(ListedName);
    }
  }
  // Step 2. Remove these and the fields that are always hop-by-hop.
  std::erase_if(Fields.fields(), [&](const HeaderField &Field) {
    const auto Matches = [&](std::string_view Name) {
      return equalsIgnoreCase(Field.Name, Name);
    };
    return std::any_of(HopByHopFields.begin(), HopByHopFields.end(), Matches) ||
           std::any_of(ListedNames.begin(), ListedNames.end(), Matches);
  });
}

std::string_view reasonPhraseOf(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 501:
    return "Not Implemented";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

std::string serialize(const RequestHead &Head) {
  std::string Out;
  Out.reserve(512);
  Out.append(Head.Method).append(" ").append(Head.Target);
  Out.append(" HTTP/1.1\r\n");
  appendFields(Out, Head.Fields);
  return Out;
}

std::string serialize(const ResponseHead &Head) {
  std::string Out;
  Out.reserve(384);
  fmt::format_to(std::back_inserter(Out), "HTTP/1.1 {} {}\r\n", Head.Status,
                 Head.Reason.empty() ? reasonPhraseOf(Head.Status)
                                     : std::string_view(Head.Reason));
  appendFields(Out, Head.Fields);
  return Out;
}

void appendChunk(std::string &Out, std::string_view Data) {
  if (Data.empty())
    return; // An empty chunk would end the body.
  fmt::format_to(std::back_inserter(Out), "{:x}\r\n", Data.size());
  Out.append(Data).append("\r\n");
}

} // namespace mangodeck::http
