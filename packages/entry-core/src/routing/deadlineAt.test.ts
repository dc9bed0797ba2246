import { test } from 'node:test';
import { matchSnapshot } from '@hornbeampond/testing';
import { exampleRoute } from '../testing/examples.js';
import { deadlineAt } from './deadlineAt.js';
import { LocalClock } from './LocalClock.js';

const MINUTE = 60_000;

function makeSpan(from: string, to: string, firstTokenMilliseconds: number) {
  return { from, to, firstTokenMilliseconds, wholeAnswerMilliseconds: 60_000 };
}

/** First-token deadlines by UTC instant, with one clock for all, as an entry has it. */
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

// A shop's route waits 3 s between 02:00 and 03:00. On 29 March 2026 the clocks of Vienna go from
// 02:00 to 03:00 at 01:00 UTC, so nobody ever sees the span in force that night: the night span
// ends and the day's deadline begins in the same moment.
test('an hour that daylight saving skips is never in force', async () => {
  const found = deadlinesFrom('Europe/Vienna', '2026-03-28T22:45:00Z', 15, 12);
  await matchSnapshot(import.meta.url, 'spring', found);
});

// On 25 October 2026 the clocks of Vienna go from 03:00 back to 02:00 at 01:00 UTC. A caller at
// 00:30 UTC and one at 01:30 UTC both see 02:30 on the wall, so both get the span's deadline; it
// is in force for two hours.
test('an hour that daylight saving repeats is in force twice', async () => {
  const found = deadlinesFrom('Europe/Vienna', '2026-10-24T23:30:00Z', 15, 12);
  await matchSnapshot(import.meta.url, 'autumn', found);
});

// Dakar keeps UTC all year. A guide who asks at 23:59 and again at 00:01 is in one span that runs
// over midnight, and its last minute is 01:59.
test('a span runs over midnight', async () => {
  const found = deadlinesFrom('Africa/Dakar', '2026-03-28T21:59:00Z', 60, 6);
  await matchSnapshot(import.meta.url, 'midnight', found);
});
