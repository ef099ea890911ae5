#include "detector-kind.h"

#include <string.h>

/* Maximum number of samples in the summary. */
#define WINDOW 16u
/* The target's own usual latency, for a service without data from siblings. */
#define BASELINE_WEIGHT (1.0 / 256)
#define BASELINE_SAMPLES 32u
/* Slow answers count in the mean latency as at most this multiple of the baseline. */
#define CAP_RATIO 20.0
/* A trial that is slower than this multiple of the reference is not good. With the spread
   of answer times in the reference deployment (0.8), one answer in 25 is slower by
   chance. */
#define TRIAL_RATIO_MAX 3.0
/* A target that breaks connections off to refuse requests does so within a round trip; no
   real work is that quick. */
#define ABRUPT_US (20 * MS_US)
/* A target that becomes sick again within this time of its recovery is flapping. */
#define FLAP_US (60 * SECOND_US)
/* A target that recovers only because time has passed starts with this share of the
   failure bound as evidence. */
#define PROBATION_SHARE 0.5
/* Share of its bound at which earlier evidence is capped when a confirmation starts. */
#define CONFIRM_SHARE 0.6
#define PPM 1000000.0
#define WHY_MAX 96u

/* When a target becomes sick, and how it recovers. */
typedef struct
{
  gboolean eject_on_break; /* one broken exchange is sufficient evidence */
  gint64 hold_us;   /* initial ejection time; good trials end it after half of it at the
                       earliest */
  guint idle_holds; /* healthy after this many ejection times without a failed trial */
  guint doublings_max; /* maximum doublings of `hold_us` on relapses */
  guint trials;        /* consecutive good trials that it takes to recover */
  guint first_trials;  /* likewise while no trial has failed */
} DetectorPolicy;

/*
 * Strict: a target that breaks off an exchange stays ejected until trials decide, and
 * trials start at once. One good trial tells a single break from a bad spell, in which
 * targets of the reference deployment fail five of six requests. Within a spell it takes
 * two good trials in a row.
 */
static const DetectorPolicy policies[DETECTION_COUNT] = {
  [DETECTION_OFF] = { FALSE, 5 * SECOND_US, 2, 6, 5, 5 },
  [DETECTION_CAREFUL] = { FALSE, 5 * SECOND_US, 2, 6, 5, 5 },
  [DETECTION_QUICK] = { FALSE, 5 * SECOND_US, 2, 6, 5, 5 },
  [DETECTION_STRICT] = { TRUE, SECOND_US / 5, 15, 0, 2, 1 },
};

struct Detector
{
  const DetectorPolicy *policy;
  const DetectorOps *ops;
  DetectorBounds bounds;
  Clock *clock;
  DetectorEvidence evidence;
  double baseline_us;
  guint baseline_samples;
  /* The latest samples, for the summary. */
  gint64 took_us[WINDOW];
  gboolean failed[WINDOW];
  guint seen;
  /* The verdict. */
  guint severity; /* 0 if healthy */
  gint64 sick_since_us;
  gint64 healthy_since_us;
  guint flaps;
  guint good_trials;
  guint failed_trials;
  gboolean abrupt; /* the target became sick by breaking off an exchange at once */
  gboolean confirming;
  gint64 confirm_from_us;
  char why[WHY_MAX];
};

static const DetectorOps *const kinds[DETECTOR_KINDS] = { &detector_none, &detector_ewma,
                                                          &detector_cusum };

const char *
detector_kind_name (DetectorKind kind)
{
  return kinds[kind]->name;
}

Detector *
detector_create_kind (DetectorKind kind, Detection setting, Clock *clock)
{
  Detector *detector = g_new0 (Detector, 1);

  detector->ops = kinds[kind];
  detector->policy = &policies[setting];
  detector->bounds = detector->ops->bounds[setting];
  detector->clock = clock;
  detector->healthy_since_us = clock_now (clock) - FLAP_US;
  return detector;
}

Detector *
detector_create (Detection setting, Clock *clock)
{
  return detector_create_kind (setting == DETECTION_OFF ? DETECTOR_NONE : DETECTOR_CUSUM,
                               setting, clock);
}

void
detector_destroy (Detector *detector)
{
  g_free (detector);
}

/* Returns the mean that this sample's time is compared with; 0 if there is none. */
static double
reference_us (const Detector *detector, const DetectorSample *sample)
{
  if (sample->sibling_us > 0)
    return sample->sibling_us;
  return detector->baseline_samples >= BASELINE_SAMPLES ? detector->baseline_us : 0;
}

static void
update_baseline (Detector *detector, const DetectorSample *sample)
{
  double weight = 1.0 / (detector->baseline_samples + 1);

  if (sample->failed || detector->severity > 0)
    return;
  /* Samples that indicate a slow spell must not become part of the baseline. */
  if (detector->evidence.latency > detector->bounds.latency_bound / 2)
    return;
  detector->baseline_us +=
      MAX (weight, BASELINE_WEIGHT) * ((double)sample->took_us - detector->baseline_us);
  detector->baseline_samples++;
}

static void
record_sample (Detector *detector, const DetectorSample *sample)
{
  guint place = detector->seen++ % WINDOW;

  detector->took_us[place] = sample->took_us;
  detector->failed[place] = sample->failed;
}

static gint64
hold_us (const Detector *detector)
{
  return detector->policy->hold_us
         << MIN (detector->flaps, detector->policy->doublings_max);
}

static void
mark_sick (Detector *detector)
{
  gint64 now = clock_now (detector->clock);

  if (now - detector->healthy_since_us < FLAP_US)
    detector->flaps++;
  else
    detector->flaps = 0;
  detector->sick_since_us = now;
  detector->good_trials = 0;
  detector->failed_trials = 0;
  detector->confirming = FALSE;
}

/* Returns how far the evidence exceeds its bounds, as a severity; 0 if it does not. */
static guint
compute_severity (Detector *detector)
{
  double failures = detector->evidence.failures / detector->bounds.failure_bound;
  double latency = detector->evidence.latency / detector->bounds.latency_bound;
  double worst = MAX (failures, latency);

  if (worst < 1)
    return 0;
  g_snprintf (detector->why, WHY_MAX, "%s: failures %.2f, latency %.2f of the bound",
              detector->ops->name, failures, latency);
  return (guint)CLAMP (worst * 100, 1, DETECTOR_SEVERITY_MAX);
}

static void
recover (Detector *detector, double share)
{
  detector->severity = 0;
  detector->healthy_since_us = clock_now (detector->clock);
  detector->why[0] = '\0';
  memset (&detector->evidence, 0, sizeof detector->evidence);
  detector->evidence.failures = share * detector->bounds.failure_bound;
}

/*
 * Confirms evidence that has reached its bound. A burst of noise reaches any useful
 * bound; so the evidence is cut, samples are ignored for `confirm_us`, by when a burst
 * has passed, and the evidence then has to reach the bound again. Returns FALSE until
 * that has happened.
 */
static gboolean
is_confirmed (Detector *detector)
{
  DetectorEvidence *evidence = &detector->evidence;

  if (detector->bounds.confirm_us == 0 || detector->confirming)
    return TRUE;
  detector->confirming = TRUE;
  detector->confirm_from_us = clock_now (detector->clock) + detector->bounds.confirm_us;
  evidence->failures =
      MIN (evidence->failures, CONFIRM_SHARE * detector->bounds.failure_bound);
  evidence->latency =
      MIN (evidence->latency, CONFIRM_SHARE * detector->bounds.latency_bound);
  return FALSE;
}

/* Adds a healthy target's sample to the evidence. */
static void
add_evidence (Detector *detector, const DetectorInput *input)
{
  if (detector->confirming && clock_now (detector->clock) < detector->confirm_from_us)
    return;
  detector->ops->observe (&detector->evidence, input);
  if (detector->evidence.failures <= 0 && detector->evidence.latency <= 0)
    detector->confirming = FALSE;
}

/* Samples of a sick target are trials; it recovers after enough good trials in a row. */
static void
judge_trial (Detector *detector, const DetectorInput *input)
{
  gint64 now = clock_now (detector->clock);
  guint needed;

  if (input->failed || input->latency_ratio > TRIAL_RATIO_MAX)
    {
      detector->good_trials = 0;
      detector->failed_trials++;
      detector->sick_since_us = now;
      return;
    }
  detector->good_trials++;
  needed =
      detector->failed_trials ? detector->policy->trials : detector->policy->first_trials;
  if (detector->good_trials >= needed &&
      now - detector->sick_since_us >= hold_us (detector) / 2)
    recover (detector, 0);
}

gboolean
detector_observe (Detector *detector, const DetectorSample *sample)
{
  double reference = reference_us (detector, sample);
  DetectorInput input = { .failed = sample->failed };
  gboolean stale =
      clock_now (detector->clock) - sample->took_us < detector->sick_since_us;
  guint severity;

  if (reference > 0)
    input.latency_ratio = (double)sample->took_us / reference;
  input.reference_failures = sample->sibling_ppm / PPM;
  record_sample (detector, sample);
  if (detector->severity > 0 && input.failed && stale)
    return FALSE;
  if (detector->severity > 0)
    {
      judge_trial (detector, &input);
      return TRUE;
    }
  add_evidence (detector, &input);
  update_baseline (detector, sample);
  if (sample->broken && detector->policy->eject_on_break)
    detector->evidence.failures =
        MAX (detector->evidence.failures, detector->bounds.failure_bound);
  severity = compute_severity (detector);
  if (severity == 0 || !is_confirmed (detector))
    return TRUE;
  detector->severity = severity;
  detector->abrupt = sample->broken && sample->took_us <= ABRUPT_US;
  mark_sick (detector);
  return TRUE;
}

guint
detector_severity (Detector *detector)
{
  if (detector->severity > 0 && clock_now (detector->clock) - detector->sick_since_us >=
                                    detector->policy->idle_holds * hold_us (detector))
    recover (detector, PROBATION_SHARE);
  return detector->severity;
}

void
detector_summary (const Detector *detector,
                  guint *latency_us,
                  guint *failures_ppm,
                  guint *samples)
{
  guint count = MIN (detector->seen, WINDOW);
  gint64 cap = (gint64)(CAP_RATIO * detector->baseline_us);
  guint failures = 0;
  guint good = 0;
  gint64 sum = 0;

  *samples = detector->seen;
  *latency_us = 0;
  *failures_ppm = 0;
  if (count == 0)
    return;
  for (guint i = 0; i < count; i++)
    {
      failures += detector->failed[i] ? 1 : 0;
      /* Failures are often quick and must not lower the mean latency. */
      if (detector->failed[i])
        continue;
      sum += cap > 0 ? MIN (detector->took_us[i], cap) : detector->took_us[i];
      good++;
    }
  *latency_us = good ? (guint)(sum / good) : 0;
  *failures_ppm = (guint)(failures * PPM / count);
}

guint
detector_failed_trials (const Detector *detector)
{
  return detector->severity > 0 ? detector->failed_trials : 0;
}

gboolean
detector_is_abrupt (const Detector *detector)
{
  return detector->severity > 0 && detector->abrupt;
}

gboolean
detector_is_slow (const Detector *detector)
{
  return detector->severity > 0 &&
         detector->evidence.failures < detector->bounds.failure_bound;
}

const char *
detector_why (const Detector *detector)
{
  return detector->severity > 0 ? detector->why : "";
}
