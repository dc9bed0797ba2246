/** Generates the blocks of docs/LOGS.md, by block name. */
import { logEvents } from '../logEvents/logEvents.js';
import { formatMarkdownTable } from './formatMarkdownTable.js';
import { describeUnusedNames } from './unusedNames.js';

/** First and last number of the events, by heading. */
const numberRanges = {
  'events of every process': [1000, 1999],
  'events of entries': [2000, 2999],
  'events of stores': [3000, 3999],
  'events of controllers': [4000, 4999],
} as const;

export function describeLogEvents(): Record<string, string> {
  const sortedEvents = Object.entries(logEvents).sort(([, a], [, b]) => a.number - b.number);
  const tables = Object.fromEntries(
    Object.entries(numberRanges).map(([name, [first, last]]) => {
      const rows = sortedEvents
        .filter(([, { number }]) => number >= first && number <= last)
        .map(([event, { number, level, text }]) => [`${number}`, `\`${event}\``, level, text]);
      return [name, formatMarkdownTable(['number', 'event', 'level', 'what happened'], rows)];
    }),
  );
  return { ...tables, 'events not written yet': describeUnusedNames(Object.keys(logEvents)) };
}
