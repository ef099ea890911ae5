#include "detector-kind.h"

static void
observe (DetectorEvidence *evidence, const DetectorInput *input)
{
}

const DetectorOps detector_none = {
  .name = "none",
  .bounds = { { 1, 1, 0 }, { 1, 1, 0 }, { 1, 1, 0 }, { 1, 1, 0 } },
  .observe = observe,
};
