/**
 * What control costs a process at rest: frames and bytes between the processes, polling of the
 * platform and of backend servers, and processor time, as entries and backend servers are added.
 */
import {
  Measurement,
  type MeasurementContext,
  type MeasurementResult,
  type Slope,
} from './Measurement.js';
import { fitLine, type Point } from './fitLine.js';
import { meanRate, readRate, wait, type UsageRate } from './readUsage.js';
import { makePlace, makePool, makeRoute, places, withCluster } from './withCluster.js';

const ENTRY_COUNTS = [2, 8, 16];
const SERVER_COUNTS = [10, 50, 200];
const FEWEST_SERVERS = 10;
const FEWEST_ENTRIES = 2;
/** Processes have started up and compiled what they run at rest. */
const SETTLE_MILLISECONDS = 6000;
const SPAN_MILLISECONDS = 6000;
/** The default of the settings. */
const POLL_MILLISECONDS = 1000;
const pool = 'buylist';

const roles = ['entry', 'controller', 'store'] as const;
type Role = (typeof roles)[number];

interface ControlRow extends UsageRate {
  readonly [column: string]: string | number;
  readonly role: Role;
  readonly entries: number;
  readonly servers: number;
}

async function measureAtRest(entries: number, servers: number): Promise<ControlRow[]> {
  const options = {
    stores: places(1),
    entries: places(entries),
    controllers: places(1),
    fakes: {
      services: Array.from({ length: servers }, (_, position) => makePlace(pool, position + 1)),
    },
    pools: [makePool(pool, 'plainService', servers)],
    routes: [makeRoute({ name: 'lookups', pathPrefix: '/lookups', pool })],
    pollMilliseconds: POLL_MILLISECONDS,
  };
  return withCluster(options, async (cluster) => {
    await wait(SETTLE_MILLISECONDS);
    const namesOf = (role: Role) =>
      [...cluster.processes.keys()].filter((name) => name.startsWith(`${role}-`));
    const rateOf = async (role: Role): Promise<ControlRow> => {
      const rates = namesOf(role).map((name) => readRate(cluster, name, SPAN_MILLISECONDS));
      return { role, entries, servers, ...meanRate(await Promise.all(rates)) };
    };
    return Promise.all(roles.map(rateOf));
  });
}

type Figure = keyof UsageRate;

const figures: Readonly<Record<Figure, string>> = {
  framesPerSecond: 'frames/s',
  frameBytesPerSecond: 'frame bytes/s',
  callBytesPerSecond: 'bytes/s of all calls',
  corePercent: '% of a core',
  residentMegabytes: 'MiB resident',
};

function fitRole(
  rows: readonly ControlRow[],
  role: Role,
  size: 'entries' | 'servers',
  word: string,
): Slope[] {
  const own = rows.filter((row) => row.role === role);
  return (Object.keys(figures) as Figure[]).map((figure) => {
    const points = own.map((row): Point => [row[size], row[figure]]);
    return { title: role, unit: `${figures[figure]} per ${word}`, ...fitLine(points) };
  });
}

export class ControlMeasurement extends Measurement {
  override readonly name = 'control';

  override readonly summary =
    'control traffic and processor time at rest, by entries and by backend servers';

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const byEntries: ControlRow[] = [];
    for (const entries of ENTRY_COUNTS) {
      progress(`${entries} entries`);
      byEntries.push(...(await measureAtRest(entries, FEWEST_SERVERS)));
    }
    const byServers = byEntries.filter((row) => row.entries === FEWEST_ENTRIES);
    for (const servers of SERVER_COUNTS.filter((count) => count !== FEWEST_SERVERS)) {
      progress(`${servers} backend servers`);
      byServers.push(...(await measureAtRest(FEWEST_ENTRIES, servers)));
    }
    return {
      sizes: `${ENTRY_COUNTS.join('/')} entries before ${FEWEST_SERVERS} servers, ${SERVER_COUNTS.join('/')} servers behind ${FEWEST_ENTRIES} entries`,
      tables: [
        { title: 'by entries', rows: byEntries },
        { title: 'by backend servers', rows: byServers },
      ],
      slopes: [
        ...roles.flatMap((role) => fitRole(byEntries, role, 'entries', 'entry')),
        ...roles.flatMap((role) => fitRole(byServers, role, 'servers', 'backend server')),
      ],
      comparisons: [],
    };
  }
}
