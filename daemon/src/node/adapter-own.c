#include "adapter.h"

const Adapter adapter_own = {
  .config = &config_source_own,
  .dialect = &dialect_own,
  .vm_list = TRUE,
};
