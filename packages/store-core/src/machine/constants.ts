/**
 * The bounds of the state machine. All replicas must use the same values, since results depend on
 * them: a change here is a change of the snapshot version.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const SECOND: Milliseconds = 1000;
const MINUTE: Milliseconds = 60 * SECOND;
const HOUR: Milliseconds = 60 * MINUTE;

/**
 * How long a change id gets its first answer again. Two days cover a script that an operator
 * resumes the next morning; a later resend finds its base revision stale, so it is still harmless.
 */
export const CHANGE_RETENTION_MILLISECONDS: Milliseconds = 48 * HOUR;

/** Change ids kept at most: two days at 8,000 changes a day, three times over. */
export const MAX_CHANGE_RECORDS = 48_000;

/** Usage windows whose counts are kept: far more than any holder still reports. */
export const MAX_USAGE_WINDOWS = 64;

/** Faults reported for one refused table; more do not help, and each answer is kept. */
export const MAX_REPORTED_FAULTS = 100;

/**
 * How long a claim is remembered after it was settled or has expired. A caller that resends its
 * key later than this is taken for a new call, so the span is above any client's own retries.
 */
export const CLAIM_RETENTION_MILLISECONDS: Milliseconds = 24 * HOUR;

/** Longest time that a claim may stay open; above the longest deadline that tables are run with. */
export const MAX_CLAIM_EXPIRY_MILLISECONDS: Milliseconds = HOUR;

/**
 * Claims kept at most: 4.6 new ones a second all day, in about 0.2 GB. Past it new ones are
 * refused, since a claim that is dropped early would let its call run twice.
 */
export const MAX_CLAIMS = 400_000;

/** All kept answers together. Above it the oldest go first; their claims still read `done`. */
export const MAX_TOTAL_STORED_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * How long a released attempt stays barred. Above the longest time that an `openClaim` can be on
 * its way: proposers give up on a request, and stores on an uncommitted command, within seconds.
 */
export const BARRED_ATTEMPT_RETENTION_MILLISECONDS: Milliseconds = 10 * MINUTE;

/** Longest lease that is granted; it bounds how long a successor has to wait. */
export const MAX_LEASE_DURATION_MILLISECONDS: Milliseconds = 5 * MINUTE;

/** Two crashes further apart than this are not held against the same request. */
export const CRASH_WINDOW_MILLISECONDS: Milliseconds = HOUR;

/** How long a named digest is kept from backend servers after the crash that named it. */
export const QUARANTINE_DURATION_MILLISECONDS: Milliseconds = 10 * MINUTE;

/** Crashes at which a digest is named even if another shared each of them. */
export const MIN_SHARED_CRASHES_FOR_QUARANTINE = 3;

/**
 * Crashes kept at most, since each report judges all of them again; announced reclaims are not
 * reported as crashes.
 */
export const MAX_CRASHES = 256;

/**
 * Digests kept for one crash: several times the requests that one backend server runs at a time.
 * With `MOST_CRASHES` it bounds the time that one report takes to judge.
 */
export const MAX_DIGESTS_PER_CRASH = 256;

/** Changes from which deltas are made; a subscriber further behind gets the whole configuration. */
export const MAX_CHANGES_IN_DELTA = 256;
