#include "goldcrestdeck/async_kv_store.h"

namespace goldcrestdeck {

const char *toString(kv_outcome outcome)
{
    switch (outcome) {
    case kv_outcome::done:
        return "done";
    case kv_outcome::conflict:
        return "conflict";
    case kv_outcome::compacted:
        return "compacted";
    case kv_outcome::refused:
        return "refused";
    case kv_outcome::superseded:
        return "superseded";
    case kv_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace goldcrestdeck
