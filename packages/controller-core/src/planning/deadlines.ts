/** Finds the deadline of a route that applies at a given time. */
import type { Deadline, EpochMilliseconds, Route } from '@hornbeampond/schema';
import { minuteOfDay } from '../demand/localTime.js';

function toMinutes(timeOfDay: string): number {
  const [hours = 0, minutes = 0] = timeOfDay.split(':').map(Number);
  return hours * 60 + minutes;
}

/**
 * True if the minute of the day is in the span. A span that does not end after its start crosses
 * midnight.
 */
function isMinuteBetween(from: number, to: number, minute: number): boolean {
  return from < to ? minute >= from && minute < to : minute >= from || minute < to;
}

/**
 * Returns the deadline of the first span that contains the local time, or else the route's default.
 * A span is a deadline with the hours in which it applies.
 */
export function deadlineAt(route: Route, at: EpochMilliseconds): Deadline {
  const minute = minuteOfDay(route.timeZone, at);
  const span = route.deadlinesByHour.find(({ from, to }) =>
    isMinuteBetween(toMinutes(from), toMinutes(to), minute),
  );
  return span ?? route.deadline;
}
