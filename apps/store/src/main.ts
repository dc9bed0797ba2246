/** The binary `hornbeampond-store`. */
import { exitCodes, Logger, SystemTimerService, runBinary } from '@hornbeampond/runtime';
import { storeSettingsSchema } from '@hornbeampond/schema';
import { FolderDisk } from './FolderDisk.js';
import { StoreProcess, type StoreFailure } from './StoreProcess.js';

/**
 * Ends the process; whoever keeps it running starts it again. A refused disk is given a new
 * identity first, so that it joins as an empty one and votes on nothing that it no longer knows.
 */
async function stop(store: StoreProcess, disk: FolderDisk, failure: StoreFailure): Promise<void> {
  try {
    await store.close();
    if (failure === 'diskRefused') await disk.renew();
  } finally {
    process.exit(exitCodes.failed);
  }
}

await runBinary({
  name: 'hornbeampond-store',
  purpose: 'keeps tables, claims and leases on a replicated log',
  schema: storeSettingsSchema,
  start: async (settings) => {
    const { instance, cluster, dataFolder, logLevel } = settings;
    const logger = new Logger({ process: 'hornbeampond-store', instance }, logLevel);
    const disk = new FolderDisk({
      folder: dataFolder,
      cluster,
      instance,
      onNotice: ({ type, ...fields }) => {
        const events = {
          opened: 'logOpened',
          tornTailCut: 'tornTailCut',
          diskFull: 'diskFull',
        } as const;
        logger.write(events[type], fields);
      },
    });
    const timers = new SystemTimerService();
    const store = new StoreProcess(settings, timers, disk, (failed, failure) => {
      stop(failed, disk, failure).catch(() => {});
    });
    await store.start();
    return store;
  },
});
