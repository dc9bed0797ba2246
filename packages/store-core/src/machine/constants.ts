/**
 * Limits of the state machine. All stores must use the same values, since results depend on them:
 * changing one requires a new snapshot version.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const SECOND: Milliseconds = 1000;
const MINUTE: Milliseconds = 60 * SECOND;
const HOUR: Milliseconds = 60 * MINUTE;

/**
 * How long a resent change gets its first result. Two days cover a script that an operator resumes
 * the next morning. A later resend of an accepted change is refused, since its base revision is stale.
 */
export const CHANGE_RETENTION_MILLISECONDS: Milliseconds = 48 * HOUR;

/**
 * Above this number the oldest change ids are removed before the end of their retention. It is three
 * times what 8,000 changes a day add up to in that time.
 */
export const MAX_CHANGE_RECORDS = 48_000;

/** Usage windows whose counts are kept; more than a holder still reports. */
export const MAX_USAGE_WINDOWS = 64;

/** Faults reported for one refused command; limited since the results of `putTable` are stored. */
export const MAX_REPORTED_FAULTS = 100;

/**
 * How long a claim is kept after it was settled or has expired. After that a resend counts as a new
 * call, so this is longer than clients retry.
 */
export const CLAIM_RETENTION_MILLISECONDS: Milliseconds = 24 * HOUR;

/** Longest time that a claim may stay open; longer than any deadline in use. */
export const MAX_CLAIM_EXPIRY_MILLISECONDS: Milliseconds = HOUR;

/**
 * At this number new claims are refused: removing one early would let its call run twice. It allows
 * 4.6 new claims a second all day, in about 0.2 GB.
 */
export const MAX_CLAIMS = 400_000;

/** Total size of the stored answers. Above it the oldest are removed; their claims stay `done`. */
export const MAX_TOTAL_STORED_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * How long a released attempt stays barred. Longer than an `openClaim` can be in transit, since
 * proposers abandon a request, and stores an uncommitted command, within seconds.
 */
export const BARRED_ATTEMPT_RETENTION_MILLISECONDS: Milliseconds = 10 * MINUTE;

/** Longest lease that is granted; it limits how long a successor has to wait. */
export const MAX_LEASE_DURATION_MILLISECONDS: Milliseconds = 5 * MINUTE;

/** Two crashes further apart than this are not attributed to the same request. */
export const CRASH_WINDOW_MILLISECONDS: Milliseconds = HOUR;

/** How long a digest stays quarantined after the latest crash attributed to it. */
export const QUARANTINE_DURATION_MILLISECONDS: Milliseconds = 10 * MINUTE;

/** Crashes after which a digest is quarantined even if another digest was present at each of them. */
export const MIN_SHARED_CRASHES_FOR_QUARANTINE = 3;

/** Crashes that are kept; limited since each report attributes all of them again. */
export const MAX_CRASHES = 256;

/**
 * Digests kept for one crash; several times the requests that one backend server runs at a time.
 * Together with `MAX_CRASHES` it limits the work of one report.
 */
export const MAX_DIGESTS_PER_CRASH = 256;

/** Changes kept for deltas; a subscriber further behind gets the whole configuration. */
export const MAX_CHANGES_IN_DELTA = 256;
