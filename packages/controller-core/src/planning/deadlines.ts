/** Which deadline of a route is in force at a point in time. */
import type { Deadline, EpochMilliseconds, Route } from '@hornbeampond/schema';
import { minuteOfDay } from '../demand/localTime.js';

function toMinutes(timeOfDay: string): number {
  const [hours = 0, minutes = 0] = timeOfDay.split(':').map(Number);
  return hours * 60 + minutes;
}

function isMinuteBetween(from: number, to: number, minute: number): boolean {
  return from < to ? minute >= from && minute < to : minute >= from || minute < to;
}

/** The first span that holds the local time is in force, else the route's own deadline. */
export function deadlineAt(route: Route, at: EpochMilliseconds): Deadline {
  const minute = minuteOfDay(route.timeZone, at);
  const span = route.deadlinesByHour.find(({ from, to }) =>
    isMinuteBetween(toMinutes(from), toMinutes(to), minute),
  );
  return span ?? route.deadline;
}
