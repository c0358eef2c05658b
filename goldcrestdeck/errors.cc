#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

const char *toString(execution_state run)
{
    switch (run) {
    case execution_state::no:
        return "no";
    case execution_state::yes:
        return "yes";
    case execution_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace goldcrestdeck
