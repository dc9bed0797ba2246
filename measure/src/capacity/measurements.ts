/** All measurements that `npm run measure` knows, by name. */
import { tmpdir } from 'node:os';
import { measureAdmission } from '../admission.js';
import { measureDay } from '../day/measureDay.js';
import { FailuresMeasurement } from '../failures/FailuresMeasurement.js';
import { measureLogAppend } from '../logAppend.js';
import { RolloutsMeasurement } from '../rollouts/RolloutsMeasurement.js';
import { measureStoreMachine } from '../storeMachine.js';
import { measureStreams } from '../streams.js';
import { ClaimsMeasurement } from './ClaimsMeasurement.js';
import { ConfigurationMeasurement } from './ConfigurationMeasurement.js';
import { ControlMeasurement } from './ControlMeasurement.js';
import type { Measurement } from './Measurement.js';
import { RecoveryMeasurement } from './RecoveryMeasurement.js';
import { RelayMeasurement } from './RelayMeasurement.js';
import { RowsMeasurement } from './RowsMeasurement.js';

export const measurements: readonly Measurement[] = [
  new RelayMeasurement(),
  new ControlMeasurement(),
  new ConfigurationMeasurement(),
  new ClaimsMeasurement(),
  new RecoveryMeasurement(),
  new FailuresMeasurement(),
  new RolloutsMeasurement(),
  new RowsMeasurement({
    name: 'admission',
    summary: 'share of callers on time and cost of a choice, by backend servers and routes',
    sizes: '10 to 12,000 backend servers, 10 to 10,000 routes; fixed seeds',
    readRows: async () => measureAdmission(),
  }),
  new RowsMeasurement({
    name: 'day',
    summary: 'cost and callers on time over one day of the fleet, against plain plans',
    sizes: 'both deployments, one day of the seed given',
    readRows: async ({ seed }) => measureDay([seed]),
  }),
  new RowsMeasurement({
    name: 'log-append',
    summary: 'log entries a second on disk, alone and sharing a sync',
    sizes: '1, 8, 64 and 512 entries together',
    readRows: async () => measureLogAppend(tmpdir()),
  }),
  new RowsMeasurement({
    name: 'store-machine',
    summary: "memory and commands a second of the store's state machine, by claims and rows",
    sizes: '15,000 to 80,000 claims, 500 to 2,000 rows',
    readRows: async () => measureStoreMachine(),
  }),
  new RowsMeasurement({
    name: 'streams',
    summary: 'what recovery of streams is worth under waves of reclaims, against redoing them',
    sizes: 'six fixed seeds of waves, poison of 3 and 6 engines, a storm of 300 requests',
    readRows: async () => measureStreams(),
  }),
];

export function findMeasurement(name: string): Measurement | undefined {
  return measurements.find((measurement) => measurement.name === name);
}
