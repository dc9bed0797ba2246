/** Computes the local time of day in a named time zone, with a cache of its UTC offsets. */
import { DateTime } from 'luxon';
import type { EpochMilliseconds } from '@hornbeampond/schema';

const MINUTE_MILLISECONDS = 60_000;
/** Time zones change their UTC offset at whole quarter hours only. */
const QUARTER_HOUR_MILLISECONDS = 15 * MINUTE_MILLISECONDS;

/** Offsets in minutes by zone and quarter hour; a lookup per forecast would dominate planning. */
const offsetCache = new Map<string, number>();
const MAX_CACHED_OFFSETS = 2000;

function utcOffsetMinutesAt(timeZone: string, at: EpochMilliseconds): number {
  const key = `${timeZone} ${Math.floor(at / QUARTER_HOUR_MILLISECONDS)}`;
  const cached = offsetCache.get(key);
  if (cached !== undefined) return cached;
  const { offset } = DateTime.fromMillis(at, { zone: timeZone });
  if (offsetCache.size >= MAX_CACHED_OFFSETS) offsetCache.clear();
  offsetCache.set(key, offset);
  return offset;
}

/** Minutes since midnight on the local clock, with a fraction. */
export function minuteOfDay(timeZone: string, at: EpochMilliseconds): number {
  const minutesPerDay = 24 * 60;
  return (at / MINUTE_MILLISECONDS + utcOffsetMinutesAt(timeZone, at)) % minutesPerDay;
}
