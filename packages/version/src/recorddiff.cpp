#include "mangodeck/version/recorddiff.h"

#include "recordjson.h"

#include <algorithm>
#include <set>

namespace mangodeck {

namespace {

std::string memberText(const nlohmann::json &Object, const std::string &Name) {
  const auto It = Object.find(Name);
  return It == Object.end() ? "" : dumpJson(*It);
}

std::vector<FieldChange> diffFields(const Record &Before, const Record &After) {
  const auto Old = toJson(Before);
  const auto New = toJson(After);
  std::set<std::string> Names;
  for (const auto &[Name, Value] : Old.items())
    Names.insert(Name);
  for (const auto &[Name, Value] : New.items())
    Names.insert(Name);
  std::vector<FieldChange> Fields;
  for (const auto &Name : Names) {
    FieldChange Field{Name, memberText(Old, Name), memberText(New, Name)};
    if (Field.Before != Field.After)
      Fields.push_back(std::move(Field));
  }
  return Fields;
}

} // namespace

std::vector<RecordChange> diffRecords(const RecordSet &Before,
                                      const RecordSet &After) {
  std::vector<RecordChange> Changes;
  for (const auto &[Id, Entry] : Before)
    if (!After.contains(Id))
      Changes.push_back({Id, ChangeKind::Removed, {}});
  for (const auto &[Id, Entry] : After) {
    const auto It = Before.find(Id);
    if (It == Before.end()) {
      Changes.push_back({Id, ChangeKind::Added, {}});
      continue;
    }
    auto Fields = diffFields(It->second, Entry);
    if (!Fields.empty())
      Changes.push_back({Id, ChangeKind::Changed, std::move(Fields)});
  }
  std::sort(
      Changes.begin(), Changes.end(),
      [](const RecordChange &A, const RecordChange &B) { return A.Id < B.Id; });
  return Changes;
}

std::string toString(const RecordChange &Change) {
  constexpr std::string_view Signs = "+-~";
  std::string Text(1, Signs[static_cast<std::size_t>(Change.Kind)]);
  Text += " " + toString(Change.Id);
  for (const auto &Field : Change.Fields) {
    const auto &Before = Field.Before.empty() ? "(none)" : Field.Before;
    const auto &After = Field.After.empty() ? "(none)" : Field.After;
    Text += "\n    " + Field.Field + ": " + Before + " -> " + After;
  }
  return Text;
}

} // namespace mangodeck
