/** The local time of day in a named time zone. */
import { DateTime } from 'luxon';
import type { EpochMilliseconds } from '@hornbeampond/schema';

const MINUTE = 60_000;
/** Zones change their offset at whole quarter hours only. */
const QUARTER_HOUR = 15 * MINUTE;

/** Offsets that were looked up; asking the zone data for each forecast would cost most of a plan. */
const offsets = new Map<string, number>();
const MOST_OFFSETS = 2000;

function offsetAt(timeZone: string, at: EpochMilliseconds): number {
  const key = `${timeZone} ${Math.floor(at / QUARTER_HOUR)}`;
  const known = offsets.get(key);
  if (known !== undefined) return known;
  const { offset } = DateTime.fromMillis(at, { zone: timeZone });
  if (offsets.size >= MOST_OFFSETS) offsets.clear();
  offsets.set(key, offset);
  return offset;
}

/** Minutes since local midnight by the clock on the wall, with a fraction. */
export function minuteOfDay(timeZone: string, at: EpochMilliseconds): number {
  const day = 24 * 60;
  return (at / MINUTE + offsetAt(timeZone, at)) % day;
}
