/** The binary `hornbeampond-entry`. */
import { SystemTimerService, runBinary } from '@hornbeampond/runtime';
import { entrySettingsSchema } from '@hornbeampond/schema';
import { EntryProcess } from './EntryProcess.js';
import { makeHttpDependencies } from './makeHttpDependencies.js';

await runBinary({
  name: 'hornbeampond-entry',
  purpose: 'takes callers’ requests and gives each its whole answer once',
  schema: entrySettingsSchema,
  start: async (settings) => {
    const entry = new EntryProcess(
      settings,
      new SystemTimerService(),
      makeHttpDependencies(settings),
    );
    await entry.start();
    return entry;
  },
});
