publish m0
crash m2
deliver FetchReply m0->m1
lose disk m1
lead m2
deliver Prepare m2->m1
deliver Promise m1->m2
