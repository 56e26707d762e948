#ifndef MANGODECK_REPLAY_JSONFIELDS_H
#define MANGODECK_REPLAY_JSONFIELDS_H

#include "mangodeck/common/diagnostic.h"
#include "mangodeck/common/units.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Reads the fields of one JSON object and notes what is wrong with them. A
/// field without a default must be there; finish() notes unknown fields.
class JsonFields {
public:
  JsonFields(const nlohmann::ordered_json &Object, SourcePlace Place,
             Diagnostics &Faults)
      : m_Object(Object), m_Place(std::move(Place)), m_Faults(Faults) {}

  bool has(std::string_view Key) const;
  std::string text(std::string_view Key);
  double number(std::string_view Key, double Least, double Most,
                std::optional<double> Default = std::nullopt);

  /// A number of tokens; 0 if it is absent.
  TokenCount count(std::string_view Key, double Most);
  Duration milliseconds(std::string_view Key, double Least, double Most,
                        std::optional<double> Default = std::nullopt);

  /// A truth value; false if it is absent.
  bool flag(std::string_view Key);
  std::string choice(std::string_view Key,
                     const std::vector<std::string> &Allowed);

  /// Calls \p Read for each object of an array; nothing if it is absent.
  void forEach(std::string_view Key,
               const std::function<void(JsonFields &)> &Read);

  void fault(std::string_view Key, std::string Found, std::string Allowed);
  void finish();

private:
  const nlohmann::ordered_json *find(std::string_view Key);

  const nlohmann::ordered_json &m_Object;
  SourcePlace m_Place;
  Diagnostics &m_Faults;
  std::set<std::string, std::less<>> m_Read;
};

} // namespace mangodeck

#endif
