#include "detector-kind.h"

#include <string.h>

/* How many samples the summary rests on at most. */
#define WINDOW 16u
/* The target's own normal, for a service whose siblings say nothing. */
#define BASELINE_WEIGHT (1.0 / 256)
#define BASELINE_SAMPLES 32u
/* A slow answer is capped in means at so many times the reference. */
#define CAP_RATIO 20.0
/* Slower than this beside the reference, a trial has not gone well. Of answers with the
   users' spread (0.8) one in twenty-five is slower by chance. */
#define TRIAL_RATIO_MAX 3.0
/* A target that refuses what it is sent by breaking the connection off does so within a
   round trip; no work is that quick. */
#define ABRUPT_US (20 * MS_US)
/* Sick again sooner than this after a return is flapping. */
#define FLAP_US (60 * SECOND_US)
/* After a return on time alone, this share of the bound is held against the target. */
#define PROBATION_SHARE 0.5
/* What evidence from before a confirmation counts for, as a share of the bound. */
#define CONFIRM_SHARE 0.6
#define PPM 1000000.0
#define WHY_MAX 96u

/* How a target falls sick at once, and how it comes back. */
typedef struct
{
  gboolean breaks_tell; /* one broken exchange is proof enough */
  gint64 hold_us;       /* how long it stays out at first */
  guint idle_holds;     /* after so many holds without work it is given another chance */
  guint doublings_max;  /* how often that doubles with relapses, at most */
  guint trials;         /* good ones in a row that bring it back */
  guint first_trials;   /* likewise while no trial has failed */
} DetectorLife;

/*
 * Strict: a target that breaks an exchange off stays out until trials decide, and they
 * come at once. One good trial tells a single break from a bad spell, in which five of
 * six requests of the users' targets fail; in a spell it takes two in a row.
 */
static const DetectorLife lives[DETECTION_COUNT] = {
  [DETECTION_OFF] = { FALSE, 5 * SECOND_US, 2, 6, 5, 5 },
  [DETECTION_CAREFUL] = { FALSE, 5 * SECOND_US, 2, 6, 5, 5 },
  [DETECTION_QUICK] = { FALSE, 5 * SECOND_US, 2, 6, 5, 5 },
  [DETECTION_STRICT] = { TRUE, SECOND_US / 5, 15, 0, 2, 1 },
};

struct Detector
{
  const DetectorLife *life;
  const DetectorOps *ops;
  DetectorBounds bounds;
  Clock *clock;
  DetectorEvidence evidence;
  double baseline_us;
  guint baseline_samples;
  /* The last samples, for the summary. */
  gint64 took_us[WINDOW];
  gboolean failed[WINDOW];
  guint seen;
  /* The verdict. */
  guint severity; /* 0 while healthy */
  gint64 sick_since_us;
  gint64 healthy_since_us;
  guint flaps;
  guint good_trials;
  guint failed_trials;
  gboolean abrupt; /* it fell sick by breaking an exchange off at once */
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
  detector->life = &lives[setting];
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

/* The mean that this sample's time is compared with; 0 for none. */
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
  /* Samples that speak of a slow spell must not become the normal. */
  if (detector->evidence.latency > detector->bounds.latency_bound / 2)
    return;
  detector->baseline_us +=
      MAX (weight, BASELINE_WEIGHT) * ((double)sample->took_us - detector->baseline_us);
  detector->baseline_samples++;
}

static void
remember (Detector *detector, const DetectorSample *sample)
{
  guint place = detector->seen++ % WINDOW;

  detector->took_us[place] = sample->took_us;
  detector->failed[place] = sample->failed;
}

static gint64
hold_us (const Detector *detector)
{
  return detector->life->hold_us << MIN (detector->flaps, detector->life->doublings_max);
}

static void
fall_sick (Detector *detector)
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

/* How far the evidence is over its bounds, as a severity; 0 below. */
static guint
weigh (Detector *detector)
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
 * A burst of noise trips any bound that is worth having. Evidence that reached its bound
 * is therefore cut, nothing counts for a while, and what comes then must take it there
 * again; a burst is over by then. FALSE while that has not happened.
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

/* Takes a healthy target's sample into the evidence. */
static void
gather (Detector *detector, const DetectorInput *input)
{
  if (detector->confirming && clock_now (detector->clock) < detector->confirm_from_us)
    return;
  detector->ops->observe (&detector->evidence, input);
  if (detector->evidence.failures <= 0 && detector->evidence.latency <= 0)
    detector->confirming = FALSE;
}

/* A sick target's samples are trials: so many good ones in a row bring it back. */
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
      detector->failed_trials ? detector->life->trials : detector->life->first_trials;
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
  remember (detector, sample);
  if (detector->severity > 0 && input.failed && stale)
    return FALSE;
  if (detector->severity > 0)
    {
      judge_trial (detector, &input);
      return TRUE;
    }
  gather (detector, &input);
  update_baseline (detector, sample);
  if (sample->broken && detector->life->breaks_tell)
    detector->evidence.failures =
        MAX (detector->evidence.failures, detector->bounds.failure_bound);
  severity = weigh (detector);
  if (severity == 0 || !is_confirmed (detector))
    return TRUE;
  detector->severity = severity;
  detector->abrupt = sample->broken && sample->took_us <= ABRUPT_US;
  fall_sick (detector);
  return TRUE;
}

guint
detector_severity (Detector *detector)
{
  if (detector->severity > 0 && clock_now (detector->clock) - detector->sick_since_us >=
                                    detector->life->idle_holds * hold_us (detector))
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
      /* Failing is often quick, and must not pass for speed. */
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
