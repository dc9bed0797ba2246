import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { exampleRoute } from '../testing/examples.js';
import { deadlineAt } from './deadlineAt.js';
import { LocalClock } from './LocalClock.js';

const MINUTE = 60_000;

function makeSpan(from: string, to: string, firstTokenMilliseconds: number) {
  return { from, to, firstTokenMilliseconds, wholeAnswerMilliseconds: 60_000 };
}

/** First-token deadlines at a series of UTC times, all with the same clock, as in an entry. */
function deadlinesFrom(timeZone: string, start: string, stepMinutes: number, steps: number) {
  const route = exampleRoute({
    timeZone,
    deadline: { firstTokenMilliseconds: 1000, wholeAnswerMilliseconds: 60_000 },
    deadlinesByHour: [
      makeSpan('22:00', '02:00', 2000),
      makeSpan('02:00', '03:00', 3000),
      makeSpan('11:30', '13:30', 500),
    ],
  });
  const clock = new LocalClock();
  return Array.from({ length: steps }, (_, step) => {
    const at = Date.parse(start) + step * stepMinutes * MINUTE;
    const { firstTokenMilliseconds } = deadlineAt(route, at, clock);
    return `${new Date(at).toISOString().slice(0, 16)}Z ${firstTokenMilliseconds}`;
  });
}

// In Vienna the local time goes from 02:00 to 03:00 at 01:00 UTC, so the span from 02:00 to 03:00
// must never apply that night.
test('a span in an hour that daylight saving skips is never in force', async () => {
  const found = deadlinesFrom('Europe/Vienna', '2026-03-28T22:45:00Z', 15, 12);
  await matchSnapshot(import.meta.url, 'spring', found);
});

// In Vienna the local time goes from 03:00 back to 02:00 at 01:00 UTC, so the span from 02:00 to
// 03:00 must apply for two hours.
test('a span in an hour that daylight saving repeats is in force twice', async () => {
  const found = deadlinesFrom('Europe/Vienna', '2026-10-24T23:30:00Z', 15, 12);
  await matchSnapshot(import.meta.url, 'autumn', found);
});

// The span from 22:00 to 02:00 must apply before and after midnight, until 01:59.
test('a span can cross midnight', async () => {
  const found = deadlinesFrom('Africa/Dakar', '2026-03-28T21:59:00Z', 60, 6);
  await matchSnapshot(import.meta.url, 'midnight', found);
});
