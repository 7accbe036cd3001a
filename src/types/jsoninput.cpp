// Limits on the JSON that is read.
#include "types/jsoninput.h"

#include <boost/locale/utf.hpp>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

/// A parser's error repeats the text where it stopped, however long that is.
constexpr size_t MaxErrorBytes = 160;

using Utf8 = boost::locale::utf::utf_traits<char>;

/// The end of the character that begins at this position; the position itself
/// if there is none.
const char *afterCharacter(const char *Position, const char *End) {
  const char *Next = Position;
  const auto Point = Utf8::decode(Next, End);
  const bool IsValid = Point != boost::locale::utf::illegal &&
                       Point != boost::locale::utf::incomplete;
  return IsValid ? Next : Position;
}

} // namespace

tl::expected<nlohmann::json, std::string> parseJson(std::string_view Text,
                                                    JsonLimits Limits) {
  using Json = nlohmann::json;
  if (Text.size() > Limits.MaxBytes)
    return tl::unexpected(
        fmt::format("{} bytes, more than {}", Text.size(), Limits.MaxBytes));
  bool IsTooDeep = false;
  const auto CheckDepth = [&](int Depth, Json::parse_event_t Event, Json &) {
    const bool Opens = Event == Json::parse_event_t::object_start ||
                       Event == Json::parse_event_t::array_start;
    if (Opens && static_cast<size_t>(Depth) >= Limits.MaxDepth)
      IsTooDeep = true;
    // Nothing of what is too deep is kept.
    return !IsTooDeep;
  };
  try {
    Json Value = Json::parse(Text, CheckDepth);
    if (IsTooDeep)
      return tl::unexpected(
          fmt::format("nested more than {} deep", Limits.MaxDepth));
    return Value;
  } catch (const Json::exception &Error) {
    return tl::unexpected(
        std::string(std::string_view(Error.what()).substr(0, MaxErrorBytes)));
  }
}

bool isUtf8(std::string_view Text) {
  const char *Position = Text.data();
  const char *const End = Position + Text.size();
  while (Position != End) {
    const char *const Next = afterCharacter(Position, End);
    if (Next == Position)
      return false;
    Position = Next;
  }
  return true;
}

Duration reportedMilliseconds(double Count) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  if (!(Count > 0))
    return Duration::zero();
  if (Count >= Milliseconds(MaxReportedTime).count())
    return MaxReportedTime;
  return std::chrono::duration_cast<Duration>(Milliseconds(Count));
}

} // namespace dragonflystall
