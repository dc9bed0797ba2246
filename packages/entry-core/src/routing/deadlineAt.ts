/**
 * The deadline that a route gives at a moment, by the local time of its zone.
 */
import { DateTime } from 'luxon';
import type { Deadline, DeadlineSpan, EpochMilliseconds, Route } from '@hornbeampond/schema';

const MINUTES_PER_HOUR = 60;

function minuteOfDay(time: string): number {
  const [hour = 0, minute = 0] = time.split(':').map(Number);
  return hour * MINUTES_PER_HOUR + minute;
}

/** A span whose end is not after its start runs over midnight. */
function holds(span: DeadlineSpan, minute: number): boolean {
  const from = minuteOfDay(span.from);
  const to = minuteOfDay(span.to);
  return from < to ? minute >= from && minute < to : minute >= from || minute < to;
}

export function deadlineAt(route: Route, wallNow: EpochMilliseconds): Deadline {
  const local = DateTime.fromMillis(wallNow, { zone: route.timeZone });
  const minute = local.hour * MINUTES_PER_HOUR + local.minute;
  return route.deadlinesByHour.find((span) => holds(span, minute)) ?? route.deadline;
}
