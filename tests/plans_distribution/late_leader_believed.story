lead m0
lead m1
deliver Prepare m0->m1
deliver Prepare m1->m0
deliver Promise m0->m1
