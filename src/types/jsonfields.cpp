// Fields of a JSON object.
#include "types/jsonfields.h"

namespace dragonflystall::jsonfields {

void reject(const char *Reason) {
  throw Json::other_error::create(501, Reason, nullptr);
}

const std::string &text(const Json &Value, const char *Key) {
  return Value.at(Key).get_ref<const std::string &>();
}

const std::string &shortText(const Json &Value, const char *Key) {
  const std::string &Text = text(Value, Key);
  if (Text.size() > MaxNameBytes)
    reject("name is too long");
  return Text;
}

int64_t integer(const Json &Value, const char *Key) {
  const Json &Field = Value.at(Key);
  if (!Field.is_number_integer())
    reject("expected an integer");
  if (Field.is_number_unsigned() && Field.get<uint64_t>() > INT64_MAX)
    reject("integer out of range");
  return Field.get<int64_t>();
}

double number(const Json &Value, const char *Key, double Default) {
  const auto Field = Value.find(Key);
  if (Field == Value.end())
    return Default;
  if (!Field->is_number())
    reject("expected a number");
  return Field->get<double>();
}

Endpoint endpoint(const Json &Value, const char *Key) {
  const auto Result = parseEndpoint(text(Value, Key));
  if (!Result)
    reject("expected ADDRESS:PORT");
  return *Result;
}

} // namespace dragonflystall::jsonfields
