/** Bursts at brittle servers of a small site. */
import { testBrittleBursts } from './testing/brittleBursts.js';

testBrittleBursts({ entries: 8, enginesPerDataCentre: 2, seeds: [1, 2] });
