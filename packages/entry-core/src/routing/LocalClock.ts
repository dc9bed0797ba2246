/**
 * Local time of day by time zone. Computing a zone's offset is slow, and offsets change only at
 * quarter hours of UTC, so each offset is cached for the current quarter hour.
 */
import { DateTime } from 'luxon';
import type { EpochMilliseconds } from '@hornbeampond/schema';

const MINUTES_PER_DAY = 24 * 60;
const MILLISECONDS_PER_MINUTE = 60_000;
const QUARTER_HOUR_MILLISECONDS = 15 * MILLISECONDS_PER_MINUTE;

interface CachedOffset {
  readonly quarterHour: number;
  readonly offsetMinutes: number;
}

export class LocalClock {
  private readonly offsets = new Map<string, CachedOffset>();

  /** Minutes from 00:00 to the local time shown by a clock, whatever daylight saving does. */
  minuteOfDay(timeZone: string, wallNow: EpochMilliseconds): number {
    const utcMinute = Math.floor(wallNow / MILLISECONDS_PER_MINUTE);
    const local = (utcMinute + this.offsetMinutes(timeZone, wallNow)) % MINUTES_PER_DAY;
    return (local + MINUTES_PER_DAY) % MINUTES_PER_DAY;
  }

  private offsetMinutes(timeZone: string, wallNow: EpochMilliseconds): number {
    const quarterHour = Math.floor(wallNow / QUARTER_HOUR_MILLISECONDS);
    const cached = this.offsets.get(timeZone);
    if (cached?.quarterHour === quarterHour) return cached.offsetMinutes;
    const offsetMinutes = DateTime.fromMillis(wallNow, { zone: timeZone }).offset;
    this.offsets.set(timeZone, { quarterHour, offsetMinutes });
    return offsetMinutes;
  }
}
