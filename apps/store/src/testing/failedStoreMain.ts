/**
 * Fails a store whose disk is refused, or takes writes again after a failure. The arguments are the data
 * folder, what its disk does, and a named pipe that nobody reads, whose opening waits as a write to a
 * stalled disk does.
 */
import { open } from 'node:fs/promises';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import { storeSettingsSchema } from '@hornbeampond/schema';
import { StoreClient } from '@hornbeampond/transport';
import { FolderDisk } from '../FolderDisk.js';
import { stopFailedStore } from '../openFolderDisk.js';
import { StoreProcess } from '../StoreProcess.js';

const FAILING_CLOSES = 3;
const PROPOSAL_MILLISECONDS = 1000;

const [folder = '', behaviour = '', pipe = ''] = process.argv.slice(2);

class FaultyDisk extends FolderDisk {
  isStalled = false;

  private closes = 0;

  override async write(effect: Parameters<FolderDisk['write']>[0]): Promise<void> {
    if (this.isStalled) await open(pipe, 'w');
    await super.write(effect);
  }

  override async close(): Promise<void> {
    this.closes += 1;
    if (behaviour === 'closeFails' && this.closes <= FAILING_CLOSES) throw new Error('EIO');
    await super.close();
  }
}

const cluster = 'tested';
const instance = 'store-1';
const disk = new FaultyDisk({ folder, cluster, instance, onNotice: () => {} });
const logger = new Logger({ process: 'hornbeampond-store', instance }, 'info');
const local = { host: '127.0.0.1', port: 0 };
const settings = storeSettingsSchema.parse({
  instance,
  dataCentre: 'wien-a',
  cluster,
  clusterSecret: 'secret-of-the-tested-cluster',
  operatorListen: local,
  operatorKeys: [],
  stores: [{ instance, dataCentre: 'wien-a', ...local, port: 1 }],
  listen: local,
  dataFolder: folder,
});
const timers = new SystemTimerService();
const store = new StoreProcess(settings, timers, disk);
const { peers: port } = await store.start();
store.foundCluster();
const client = new StoreClient([{ instance, dataCentre: 'wien-a', ...local, port }], {
  identity: { cluster, instance: 'entry-1', dataCentre: 'wien-a', role: 'entry' },
  secret: settings.clusterSecret,
  timers,
  logger,
});

async function change(number: number): Promise<void> {
  const changeId = `change-${number}`;
  const baseRevision = number - 1;
  const command = { type: 'putTable', table: 'pools', baseRevision, changeId, rows: [] } as const;
  const { type } = await client.propose(command, PROPOSAL_MILLISECONDS);
  process.stdout.write(`${changeId} ${type}\n`);
}

await change(1);
const isRestored = behaviour === 'stallsAfterRestore';
disk.isStalled = isRestored || behaviour === 'stalls';
if (disk.isStalled) await change(2);
client.close();
const failure = isRestored ? 'diskRestored' : 'diskRefused';
logger.write(failure, isRestored ? {} : { reason: 'runOutdated' });
await stopFailedStore(store, disk, failure, logger);
