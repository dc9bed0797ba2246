/**
 * Bytes that a store pushes to one subscriber for a change of one route: the delta, and the whole
 * configuration that it takes the place of.
 */
import type { Route, StorePush } from '@hornbeampond/schema';
import { applyCommand, configurationSince, MachineState } from '@hornbeampond/store-core';
import { encodeFrame } from '@hornbeampond/transport';
import { smallPools, smallRoutes } from '../processes/smallCluster.js';

export interface PushBytes {
  readonly routes: number;
  readonly whole: number;
  readonly delta: number;
}

function makeRoutes(count: number): Route[] {
  const [pattern] = smallRoutes;
  if (pattern === undefined) throw new Error('no route to start from');
  return Array.from({ length: count }, (_, position) => ({
    ...pattern,
    name: `appraisals-${position}`,
    match: { pathPrefix: `/v1/chat/completions/${position}`, workspaces: [] },
  }));
}

function frameBytes(body: StorePush): number {
  return encodeFrame({ type: 'push', body }).length;
}

export function measurePushBytes(routeCount: number): PushBytes {
  const state = new MachineState();
  const put = (table: 'pools' | 'routes', baseRevision: number, rows: readonly unknown[]) => {
    const changeId = `${table}-${baseRevision}`;
    const command = { type: 'putTable', table, baseRevision, changeId, rows } as const;
    const result = applyCommand(state, { at: 0, command });
    if (result.type !== 'tableAccepted') throw new Error(JSON.stringify(result));
    return result.revision;
  };
  put('pools', 0, smallPools);
  const rows = makeRoutes(routeCount);
  const before = put('routes', 0, rows);
  const changed = rows.map((row, position) => (position === 0 ? { ...row, priority: 7 } : row));
  put('routes', before, changed);
  const update = configurationSince(state, before);
  if (update.type !== 'delta') throw new Error('no delta was made');
  return {
    routes: routeCount,
    whole: frameBytes({ type: 'configuration', configuration: state.configuration }),
    delta: frameBytes({ type: 'configurationDelta', delta: update.delta }),
  };
}
