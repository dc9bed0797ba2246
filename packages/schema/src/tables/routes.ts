/**
 * The routes table: which callers go to which pool, and how long they may wait at which hour.
 */
import * as z from 'zod';

const MAX_DURATION_MILLISECONDS = 24 * 60 * 60 * 1000;
const MAX_ROUTES = 10_000;

/** Names of rows, pools, workspaces and data centres. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_", "-"');

const timeOfDaySchema = z
  .string()
  .regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'must be a time of day such as "07:30"');

const durationSchema = z.number().int().min(1).max(MAX_DURATION_MILLISECONDS);

/**
 * Zones that were found to exist. Asking costs a tenth of a millisecond, so that a table of 10,000
 * routes held every store up for a second; the zones that exist are a few hundred.
 */
const validTimeZones = new Set<string>();

function isValidTimeZone(zone: string): boolean {
  if (validTimeZones.has(zone)) return true;
  try {
    const resolved = new Intl.DateTimeFormat('en', { timeZone: zone }).resolvedOptions().timeZone;
    if (resolved !== '') validTimeZones.add(zone);
    return resolved !== '';
  } catch {
    return false;
  }
}

export const deadlineSchema = z.strictObject({
  /** From the request's arrival to the first token, or first byte of a plain service. */
  firstTokenMilliseconds: durationSchema,
  /** From the request's arrival to the end of the answer. */
  wholeAnswerMilliseconds: durationSchema,
  /**
   * Until when a first token that missed its deadline is still of use, from the request's arrival. Such
   * requests are served behind those that can be in time; without it they are refused.
   */
  lateFirstTokenMilliseconds: durationSchema.optional(),
  /** The longest pause between two tokens that callers take for none. */
  pauseMilliseconds: durationSchema.optional(),
});

export const deadlineSpanSchema = deadlineSchema.extend({
  /** First minute of the span, in the route's time zone. */
  from: timeOfDaySchema,
  /** First minute after the span; not later than `from` means that it runs over midnight. */
  to: timeOfDaySchema,
});

export const routeSchema = z.strictObject({
  name: nameSchema,
  match: z.strictObject({
    /** The host that callers name, in lower case; without it any. */
    host: z.string().min(1).max(255).optional(),
    /** The longest matching prefix wins. */
    pathPrefix: z.string().startsWith('/', 'must start with "/"').max(512),
    /** Workspaces that may use the route; empty means all. */
    workspaces: z.array(nameSchema).default([]),
    /** The `model` named in the request; without it any. */
    model: z.string().min(1).max(200).optional(),
  }),
  pool: nameSchema,
  /** Shares of the calls by pool, where they are split among several; `pool` is one of these. */
  split: z
    .array(z.strictObject({ pool: nameSchema, weight: z.number().min(0).max(1_000_000) }))
    .max(64)
    .optional(),
  /** False: a call may run at most once, needs an `Idempotency-Key` and is claimed first. */
  idempotent: z.boolean(),
  /**
   * False for calls that may not be repeated at backend servers that tell whether they ran one:
   * each is sent once for each time its caller asks, without a key and a claim in the log.
   */
  claimed: z.boolean().optional(),
  /** True: callers need no key. */
  public: z.boolean().optional(),
  /** Most backend servers that one call may be sent to; without it any number. */
  mostAttempts: z.number().int().min(1).max(100).optional(),
  /** 0 is served first, 9 last. */
  priority: z.number().int().min(0).max(9).default(5),
  limits: z
    .strictObject({
      /** Most requests in progress for one workspace in one data centre. */
      inProgressPerWorkspace: z.number().int().min(1).max(1_000_000).default(1000),
      /** Exceptions to it by workspace. */
      workspaces: z.record(nameSchema, z.number().int().min(0).max(1_000_000)).default({}),
    })
    .default({ inProgressPerWorkspace: 1000, workspaces: {} }),
  timeZone: z.string().refine(isValidTimeZone, 'must be an IANA time zone such as "Europe/Vienna"'),
  /** In force where no span matches. */
  deadline: deadlineSchema,
  /** The first span that holds the local time of the request's arrival is in force. */
  deadlinesByHour: z.array(deadlineSpanSchema).max(48).default([]),
});

export const routeRowsSchema = z.array(routeSchema).max(MAX_ROUTES);

export type Deadline = z.infer<typeof deadlineSchema>;
export type DeadlineSpan = z.infer<typeof deadlineSpanSchema>;
export type Route = z.infer<typeof routeSchema>;

/**
 * True if a call of the route is claimed in the log before it is sent, so that its outcome is kept
 * for its resends and must be learnt even when its caller is gone.
 */
export function requiresClaim({
  idempotent,
  claimed,
}: Pick<Route, 'idempotent' | 'claimed'>): boolean {
  return !idempotent && claimed !== false;
}
