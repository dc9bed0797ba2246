/** Generates all blocks of the reference pages in `docs/`, by page and block name. */
import { describeErrors } from './describeErrors.js';
import { describeLogEvents } from './describeLogEvents.js';
import { describeMetrics } from './describeMetrics.js';
import { describeSettings } from './describeSettings.js';

export function makeReferencePages(): Readonly<Record<string, Readonly<Record<string, string>>>> {
  return {
    'CALLERS.md': describeErrors(),
    'LOGS.md': describeLogEvents(),
    'METRICS.md': describeMetrics(),
    'SETTINGS.md': describeSettings(),
  };
}
