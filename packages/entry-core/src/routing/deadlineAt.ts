/**
 * Determines a route's deadline by the local time of its time zone. Spans refer to the time shown
 * by a local clock: an hour skipped by daylight saving is never in force, a repeated one is twice.
 */
import type { Deadline, DeadlineSpan, EpochMilliseconds, Route } from '@hornbeampond/schema';
import { LocalClock } from './LocalClock.js';

const MINUTES_PER_HOUR = 60;

function minuteOfDay(time: string): number {
  const [hour = 0, minute = 0] = time.split(':').map(Number);
  return hour * MINUTES_PER_HOUR + minute;
}

/** A span whose end is not after its start crosses midnight. */
function isInForce(span: DeadlineSpan, minute: number): boolean {
  const from = minuteOfDay(span.from);
  const to = minuteOfDay(span.to);
  return from < to ? minute >= from && minute < to : minute >= from || minute < to;
}

export function deadlineAt(
  route: Route,
  wallNow: EpochMilliseconds,
  clock = new LocalClock(),
): Deadline {
  if (route.deadlinesByHour.length === 0) return route.deadline;
  const minute = clock.minuteOfDay(route.timeZone, wallNow);
  return route.deadlinesByHour.find((span) => isInForce(span, minute)) ?? route.deadline;
}
