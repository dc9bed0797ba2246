/**
 * The workspaces table and the limits on callers' requests, for operators who replace all tables
 * together instead of listing workspaces in the settings of each entry.
 */
import * as z from 'zod';
import { nameSchema } from './routes.js';

const MAX_WORKSPACES = 10_000;

/** What one workspace may spend at all entries together. */
export const allowanceSchema = z.strictObject({
  unit: z.enum(['requests', 'tokens']),
  perSecond: z.number().min(0),
  /** In any window of this length, at most `perSecond` times its length plus `burst` is spent. */
  windowMilliseconds: z.number().min(100).max(3_600_000).default(1000),
  /** Amount that may be spent in a window in addition to `perSecond` times its length. */
  burst: z.number().min(0),
  /**
   * Amount by which a window may exceed the limit because entries receive each other's reports late.
   * If 0, entries may spend little between two reports.
   */
  tolerated: z.number().min(0).default(0),
  /** Amount of a request whose number of tokens is not known, if the unit is tokens. */
  plainTokens: z.number().min(0).default(0),
});

export const workspaceRowSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of each of its keys, in lower-case hexadecimal digits. */
  keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(1000),
  /** Overrides the priority of routes; 0 is served first, 9 last. */
  priority: z.number().int().min(0).max(9).optional(),
  allowance: allowanceSchema.optional(),
});

export const workspaceRowsSchema = z.array(workspaceRowSchema).max(MAX_WORKSPACES);

/** Limits on the sizes and durations of callers' requests. */
export const callerBoundsSchema = z.strictObject({
  headerBytes: z
    .number()
    .int()
    .min(1024)
    .max(1024 * 1024),
  bodyBytes: z
    .number()
    .int()
    .min(0)
    .max(1024 * 1024 * 1024),
  /** Maximum time from the first byte of a request until its headers are complete. */
  headerMilliseconds: z.number().min(1),
  /** Maximum time that a connection may be idle between requests. */
  idleMilliseconds: z.number().min(1),
});

export type Allowance = z.infer<typeof allowanceSchema>;
export type WorkspaceRow = z.infer<typeof workspaceRowSchema>;
export type CallerBounds = z.infer<typeof callerBoundsSchema>;
