/** HTTP listeners on Undertow whose connections share bounds of memory and of descriptors. */
package org.knapweedhatch.listen;
