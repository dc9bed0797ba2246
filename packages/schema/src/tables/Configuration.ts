/**
 * The configuration: the routes and pools tables that are in force together, with their revisions,
 * and what operators set with them if they replace all tables together.
 */
import type { Pool } from './pools.js';
import type { Rollout } from './Rollout.js';
import type { Route } from './routes.js';
import type { CallerBounds, WorkspaceRow } from './workspaces.js';

export const tableNames = ['routes', 'pools'] as const;
export type TableName = (typeof tableNames)[number];

/** A table with the configuration revision of its last change. */
export interface Table<Row> {
  readonly revision: number;
  readonly rows: readonly Row[];
}

/** Each accepted change of the configuration increases `revision` by one. */
export interface Configuration {
  readonly revision: number;
  readonly routes: Table<Route>;
  readonly pools: Table<Pool>;
  /** Set if operators replace all tables together. */
  readonly whole?: ConfigurationReplacement;
  /** The latest roll-out of each pool that had one. */
  readonly rollouts?: readonly Rollout[];
}

/** The additional contents of a configuration that replaced all tables together. */
export interface ConfigurationReplacement {
  /** Assigned by the operators; the highest version is in force. */
  readonly version: number;
  readonly workspaces: readonly WorkspaceRow[];
  readonly callerBounds?: CallerBounds;
}

/** The configuration in force before the first change by an operator. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  routes: { revision: 0, rows: [] },
  pools: { revision: 0, rows: [] },
};
